// Package instance describes the members of a deployment: entry instances that run the system's own
// processes, and workers (the upstreams).
package instance

import "clementinewalk.example/clementinewalk/internal/resource"

// ID names an instance for as long as it exists. A restarted process keeps its ID and gets a new Incarnation.
type ID string

// Incarnation is a random identifier that a process draws when it starts.
type Incarnation string

// Role tells what an instance does.
type Role string

// The roles that appear in the instance list.
const (
	RoleGateway   Role = "gateway"
	RoleScheduler Role = "scheduler"
	RoleWorker    Role = "worker"
)

// State tells whether an instance accepts new work.
type State string

// The states that appear in the instance list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Member is one entry of the platform's instance list.
type Member struct {
	ID          ID          `json:"id" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
	Role        Role        `json:"role" cbor:"3,keyasint"`
	State       State       `json:"state" cbor:"4,keyasint"`
	DataCentre  string      `json:"data_centre" cbor:"5,keyasint"`
	// Addr is the ip:port of the QUIC endpoint (gateway, scheduler) or of the HTTP endpoint (worker).
	Addr string `json:"addr" cbor:"6,keyasint"`
	// HTTPAddr is the ip:port of the callers' endpoint (gateway) or the operators' endpoint (scheduler).
	HTTPAddr string `json:"http_addr,omitempty" cbor:"7,keyasint,omitempty"`
	// Rack, Slots, Connections and Capacity are set for workers only.
	Rack        int             `json:"rack,omitempty" cbor:"8,keyasint,omitempty"`
	Slots       int             `json:"slots,omitempty" cbor:"9,keyasint,omitempty"`
	Connections int             `json:"connections,omitempty" cbor:"10,keyasint,omitempty"`
	Capacity    resource.Vector `json:"capacity,omitzero" cbor:"11,keyasint,omitempty"`
}
