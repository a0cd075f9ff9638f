// Package instance defines the members of a deployment: entry instances, which run gateways and schedulers, and
// workers, the upstreams.
package instance

import "clementinewalk.example/clementinewalk/internal/resource"

// ID identifies an instance for its whole lifetime. A process that restarts keeps its ID and gets a new Incarnation.
type ID string

// Incarnation is a random identifier of one run of a process, chosen at its start.
type Incarnation string

// Role is the function of an instance in the deployment.
type Role string

// The roles of instances in the instance list.
const (
	RoleGateway   Role = "gateway"
	RoleScheduler Role = "scheduler"
	RoleWorker    Role = "worker"
)

// State is whether an instance accepts new work.
type State string

// The states of instances in the instance list.
const (
	StateLive State = "live"
	// StateLeaving instances finish their work and accept no new work.
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
