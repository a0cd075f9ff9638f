// Package resource defines amounts of compute resources, which instances offer and tasks occupy.
package resource

// Vector is an amount of cores, memory and accelerators.
type Vector struct {
	MilliCores   int64 `json:"milli_cores,omitempty" cbor:"1,keyasint,omitempty"`
	MemoryMB     int64 `json:"memory_mb,omitempty" cbor:"2,keyasint,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns v + o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.MilliCores + o.MilliCores, v.MemoryMB + o.MemoryMB, v.Accelerators + o.Accelerators}
}

// Sub returns v - o. Components may become negative.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.MilliCores - o.MilliCores, v.MemoryMB - o.MemoryMB, v.Accelerators - o.Accelerators}
}

// Scale returns v * n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCores * n, v.MemoryMB * n, v.Accelerators * n}
}

// Fits reports whether every component of v is at most that of o.
func (v Vector) Fits(o Vector) bool {
	return v.MilliCores <= o.MilliCores && v.MemoryMB <= o.MemoryMB && v.Accelerators <= o.Accelerators
}

// Max returns the component-wise maximum of v and o.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.MilliCores, o.MilliCores), max(v.MemoryMB, o.MemoryMB), max(v.Accelerators, o.Accelerators)}
}
