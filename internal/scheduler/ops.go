package scheduler

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Status is the answer to GET /v1/status.
type Status struct {
	ID           instance.ID   `json:"id"`
	Role         instance.Role `json:"role"`
	ConfigOffset uint64        `json:"config_offset"`
	Ready        bool          `json:"ready"`
}

// Ops returns the handler of the operators' HTTP endpoint.
func (s *Scheduler) Ops(r *prometheus.Registry) http.Handler {
	mux := http.NewServeMux()
	process.HandleOps(mux, s.deps.Health, r)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		st := Status{ID: s.ID, Role: instance.RoleScheduler, Ready: s.deps.Health.Ready()}
		if v := s.deps.Config.Current(); v != nil {
			st.ConfigOffset = v.Offset
		}
		writeJSON(w, st)
	})
	mux.HandleFunc("GET /v1/shards", func(w http.ResponseWriter, r *http.Request) {
		out := make(chan []contract.ShardState, 1)
		s.post(func(now time.Time) { out <- s.shardStates(now) })
		select {
		case states := <-out:
			writeJSON(w, states)
		case <-s.done:
			w.WriteHeader(http.StatusServiceUnavailable)
		case <-r.Context().Done():
		}
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write fails only if the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
