package evacuation

import "time"

const (
	// peakWindow is how long a peak counts in full; it is forgotten after twice that time. Demand varies with periods of
	// 10 to 20 s.
	peakWindow = 20 * time.Second
	// demandFactor is by how much the demand may exceed its recent peak: it may double within seconds, while a moved task
	// stays where it is.
	demandFactor = 2
)

// Demand is the recent demand of tasks that are not long-running for the processors of a pool, in thousandths of a core.
// The zero value knows of none. Times count from any origin.
type Demand struct{ reserved, size peak }

// peak is the largest value of the present window and of the one before.
type peak struct {
	since             time.Duration
	current, previous int64
}

func (p *peak) observe(now time.Duration, v int64) {
	if passed := now - p.since; passed >= peakWindow {
		p.previous, p.current, p.since = p.current, 0, now
		if passed >= 2*peakWindow {
			p.previous = 0
		}
	}
	p.current = max(p.current, v)
}

func (p *peak) value() int64 { return max(p.current, p.previous) }

// Observe notes what such tasks reserve in the pool, and the size of the largest one that was placed since the last call.
func (d *Demand) Observe(now time.Duration, reserved, largest int64) {
	d.reserved.observe(now, reserved)
	d.size.observe(now, largest)
}

// Needed returns how much must stay free for them beside what they reserve now.
func (d *Demand) Needed(reserved int64) int64 {
	return max(0, demandFactor*d.reserved.value()-reserved)
}

// Unit returns the size of the largest one. Room in smaller pieces is of no use to them.
func (d *Demand) Unit() int64 { return max(1, d.size.value()) }
