// Package headroom decides how much best-effort work a worker takes on beside its services. It answers load in which
// more best-effort tasks arrive than the processors that services leave free can run. Placed all at once, such tasks
// share the processors, end late together, and lengthen the tail latency of the services. A bound lets as many tasks
// as there is headroom for run at nearly full speed, while the others wait in the order of their objectives. The package
// uses no clock, network or goroutine.
package headroom

// ServiceUse is the share of their reserved processors that services use on average. The rest can run best-effort
// tasks.
const ServiceUse = 0.5

const (
	// cautiousShare is the share of a service's margin that best-effort tasks may use up. Images that exceed it with a
	// few tasks belong on other workers; the rest of the margin covers the changing load of the service.
	cautiousShare = 0.2
	// fullShare applies to an image for which too few workers are compatible: it is placed beside services that it
	// disturbs, and CPU limits protect them.
	fullShare = 1.0
	// minCompatibleShare is the share of the workers that must be compatible with an image for cautiousShare to apply.
	minCompatibleShare = 0.1
)

// negligibleCoefficient is the coefficient below which an image counts as harmless to a service. Images that disturb a
// service have coefficients of 3 to 9; the error of the fit reaches 1 for the others where 20 images run at the same
// time.
const negligibleCoefficient = 1.0

// maxTailRatio is the tail latency of a service, as a share of its objective, from which its worker takes no further
// best-effort task. The latency also rises with the load of the service itself and with all use of the processors, which
// coefficients of images do not tell.
const maxTailRatio = 0.75

// Load is what the tasks on a worker request, in thousandths of a core.
type Load struct {
	// Capacity is the processors of the worker.
	Capacity int64
	// Exclusive is reserved by tasks that are neither services with a latency objective nor best effort.
	Exclusive int64
	// Services is reserved by services with a latency objective.
	Services int64
	// BestEffort is requested by best-effort tasks, by image.
	BestEffort map[string]int64
	// TailRatio is the highest ratio of tail latency to objective that a service on the worker has reported.
	TailRatio float64
}

// Interference is the effect of best-effort tasks on services.
type Interference interface {
	// Coefficient returns by how much the logarithm of a service's tail latency rises if an image uses all processors of
	// a worker; at least 0.
	Coefficient(service, image string) float64
}

// Service is a service beside which best-effort tasks run.
type Service struct {
	Image string
	// Margin is by how much the logarithm of its tail latency may rise before it reaches its target; negative if it is above.
	Margin float64
}

// Fits reports whether a best-effort task of the given image and size would run at nearly its full speed beside the
// tasks of the load and the given services. share is the result of Share for the image.
func (l *Load) Fits(i Interference, services []Service, image string, milliCores int64, share float64) bool {
	requested := int64(0)
	for _, m := range l.BestEffort {
		requested += m
	}
	return l.HasProcessors(requested, milliCores) && l.KeepsMargins(i, services, image, milliCores, share)
}

// HasProcessors reports the conditions of Fits that do not depend on images: no service is near its objective, and the
// processors that the other tasks leave unused suffice. A worker without best-effort tasks takes any one, because a task
// may be larger than what is ever left. requested is the sum of BestEffort.
func (l *Load) HasProcessors(requested, milliCores int64) bool {
	left := l.Capacity - l.Exclusive - int64(ServiceUse*float64(l.Services))
	return l.BelowObjectives() && (requested == 0 || requested+milliCores <= left)
}

// BelowObjectives reports whether no service is near its objective.
func (l *Load) BelowObjectives() bool { return l.TailRatio < maxTailRatio }

// KeepsMargins reports the condition of Fits that depends on images: the services stay within the share of their margins.
func (l *Load) KeepsMargins(i Interference, services []Service, image string, milliCores int64,
	share float64) bool {
	capacity := float64(max(1, l.Capacity))
	for _, s := range services {
		rise := effect(i, s.Image, image) * float64(milliCores) / capacity
		if rise == 0 {
			continue
		}
		for other, m := range l.BestEffort {
			rise += effect(i, s.Image, other) * float64(m) / capacity
		}
		if rise > share*s.Margin {
			return false
		}
	}
	return true
}

// Share returns the share of the services' margins that an image may use up: cautiousShare if enough workers run only
// services that the image hardly disturbs, otherwise fullShare. services holds the service images of each worker.
func Share(i Interference, services []map[string]int, image string) float64 {
	enough := minCompatibleShare * float64(len(services))
	compatible := 0
	for _, s := range services {
		if float64(compatible) >= enough {
			break
		}
		if isCompatible(i, s, image) {
			compatible++
		}
	}
	if float64(compatible) < enough {
		return fullShare
	}
	return cautiousShare
}

func isCompatible(i Interference, services map[string]int, image string) bool {
	for service := range services {
		if effect(i, service, image) > 0 {
			return false
		}
	}
	return true
}

// effect returns the coefficient of a pair of images, or 0 if it is negligible.
func effect(i Interference, service, image string) float64 {
	if k := i.Coefficient(service, image); k >= negligibleCoefficient {
		return k
	}
	return 0
}
