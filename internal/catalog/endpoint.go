package catalog

import (
	"math/rand/v2"
	"regexp"
	"strings"

	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Endpoint is where the relay of an instance listens.
type Endpoint struct {
	_        struct{} `cbor:",toarray"`
	Instance string
	// Addr is of the form ip:port.
	Addr string
	// Fingerprint is the SHA-256 hash of the relay's certificate.
	Fingerprint []byte
	DataCentre  string
	// Cores is the processor time of the instance; LinkBytesPerSecond the bandwidth of its link, 0 if unknown.
	Cores, LinkBytesPerSecond float64
}

// EndpointEntry returns the entry that publishes an endpoint. Its error is a *workflow.EncodeError.
func EndpointEntry(e *Endpoint) (eventlog.Entry, error) {
	b, err := workflow.Encode("endpoint", e)
	return eventlog.Entry{Key: endpointPrefix + e.Instance, Value: b}, err
}

// RemoveEndpointEntry returns the entry that withdraws the endpoint of an instance.
func RemoveEndpointEntry(instance string) eventlog.Entry {
	return eventlog.Entry{Key: endpointPrefix + instance}
}

func (c *Catalog) applyEndpoint(instance string, e eventlog.Entry) {
	if e.Value == nil {
		delete(c.endpoints, instance)
		return
	}
	var p Endpoint
	if err := workflow.Decode("endpoint", e.Value, &p); err != nil {
		c.logger.Error("cannot decode endpoint, ignoring it", "instance", instance, "offset", e.Offset, "error", err)
		return
	}
	c.endpoints[instance] = p
}

// Peers returns the endpoints of at most n instances other than self: that of the owner first, then random ones.
func (c *Catalog) Peers(self string, n int) []Endpoint {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []Endpoint
	for instance, e := range c.endpoints {
		if instance != self {
			out = append(out, e)
		}
	}
	rand.Shuffle(len(out), func(i, k int) { out[i], out[k] = out[k], out[i] })
	for i := range out {
		if out[i].Instance == c.owner.Instance && !c.owner.Released {
			out[0], out[i] = out[i], out[0]
		}
	}
	return out[:min(n, len(out))]
}

// Endpoints returns the published endpoints.
func (c *Catalog) Endpoints() []Endpoint {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		out = append(out, e)
	}
	return out
}

// MostCores returns the most processor time of an instance other than self; 0 if none is published.
func (c *Catalog) MostCores(self string) float64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	most := 0.0
	for instance, e := range c.endpoints {
		if instance != self {
			most = max(most, e.Cores)
		}
	}
	return most
}

// CountInstances returns the number of instances with a published endpoint.
func (c *Catalog) CountInstances() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.endpoints)
}

var jobKey = regexp.MustCompile(`^[0-9a-f]{16}$`)

// IsEntryKey reports whether a key is that of a submission or a cancellation.
func IsEntryKey(key string) bool { return jobKey.MatchString(strings.TrimPrefix(key, cancelPrefix)) }

// EntryError reports an entry that is neither a submission nor a cancellation.
type EntryError struct{ Key, Problem string }

// Error implements error.
func (e *EntryError) Error() string { return "entry " + e.Key + " " + e.Problem }

// Holds reports whether the submission or cancellation with the key of an entry has been read from the log.
func (c *Catalog) Holds(key string) bool {
	id, isCancellation := strings.CutPrefix(key, cancelPrefix)
	j := c.Find(workflow.JobID(id))
	return j != nil && (!isCancellation || j.Cancelled)
}

// CheckEntry returns an error unless the entry is a valid submission or a cancellation: an *EntryError, a
// *workflow.DecodeError or a *workflow.InvalidError.
func CheckEntry(e eventlog.Entry) error {
	id, isCancellation := strings.CutPrefix(e.Key, cancelPrefix)
	switch {
	case !jobKey.MatchString(id):
		return &EntryError{Key: e.Key, Problem: "has no key of a submission"}
	case len(e.Value) == 0:
		return &EntryError{Key: e.Key, Problem: "has no value"}
	case isCancellation:
		return nil
	}
	s, err := workflow.DecodeNew(e.Value)
	if err != nil {
		return err
	}
	if string(s.Job) != id {
		return &EntryError{Key: e.Key, Problem: "holds another submission"}
	}
	return s.CheckNew()
}
