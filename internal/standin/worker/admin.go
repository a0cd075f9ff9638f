package worker

import (
	"encoding/json"
	"net/http"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const maxAdminBody = 8 << 20

// Selection names workers. A worker is selected if every non-empty field matches it; the empty selection matches all.
type Selection struct {
	Workers    []instance.ID `json:"workers,omitempty"`
	DataCentre string        `json:"data_centre,omitempty"`
	Rack       *int          `json:"rack,omitempty"`
}

func (s Selection) matches(c Config) bool {
	return (len(s.Workers) == 0 || slices.Contains(s.Workers, c.ID)) && (s.DataCentre == "" || s.DataCentre == c.DataCentre) &&
		(s.Rack == nil || *s.Rack == c.Rack)
}

// FaultsRequest is the body of POST /admin/faults: the faults replace those of the selected workers. The answer is a FaultsReply.
type FaultsRequest struct {
	Selection
	Faults Faults `json:"faults"`
}

// FaultsReply lists the workers that were changed.
type FaultsReply struct {
	Workers []instance.ID `json:"workers"`
	// Errors lists the endpoints that could not be opened again.
	Errors []string `json:"errors,omitempty"`
}

// ExecutedRequest is the body of POST /admin/executed. The answer gives the number of executions of each request id and the number of
// different tasks done of each job.
type ExecutedRequest struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Jobs       []string `json:"jobs,omitempty"`
}

// ExecutedReply answers ExecutedRequest.
type ExecutedReply struct {
	Executions map[string]int `json:"executions"`
	TasksDone  map[string]int `json:"tasks_done"`
}

// WorkerState is one worker in the answer to GET /admin/workers.
type WorkerState struct {
	ID         instance.ID `json:"id"`
	DataCentre string      `json:"data_centre"`
	Rack       int         `json:"rack"`
	Addr       string      `json:"addr"`
	Tasks      int         `json:"tasks"`
	Busy       int         `json:"busy"`
	Shard      string      `json:"shard,omitempty"`
	Epoch      uint64      `json:"epoch"`
	LeaseValid bool        `json:"lease_valid"`
	Faults     Faults      `json:"faults"`
}

// AdminHandler serves /admin.
func (f *Fleet) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", f.handleFaults)
	mux.HandleFunc("POST /admin/executed", f.handleExecuted)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Stats()) })
	mux.HandleFunc("GET /admin/workers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.states()) })
	mux.HandleFunc("GET /admin/interference", f.handleInterference)
	return mux
}

// handleInterference gives the true factor of a pair of kinds, against which estimates are measured.
func (f *Fleet) handleInterference(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, f.members[0].worker.cfg.Model.Pair(q.Get("request"), q.Get("task")))
}

// Apply replaces the faults of the selected workers.
func (f *Fleet) Apply(s Selection, faults Faults) FaultsReply {
	var out FaultsReply
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	for _, m := range f.members {
		if !s.matches(m.worker.cfg) {
			continue
		}
		out.Workers = append(out.Workers, m.worker.cfg.ID)
		if err := f.setFaults(m, faults); err != nil {
			f.logger.Error("a worker cannot open its endpoint again", "worker", m.worker.cfg.ID, "error", err)
			out.Errors = append(out.Errors, err.Error())
		}
	}
	return out
}

func (f *Fleet) handleFaults(w http.ResponseWriter, r *http.Request) {
	var in FaultsRequest
	if !readJSON(w, r, &in) {
		return
	}
	out := f.Apply(in.Selection, in.Faults)
	f.logger.Info("faults changed", "workers", len(out.Workers), "faults", in.Faults)
	// The list must not lag behind a change by a whole refresh period on top of its own lag.
	f.Refresh(r.Context())
	writeJSON(w, out)
}

func (f *Fleet) handleExecuted(w http.ResponseWriter, r *http.Request) {
	var in ExecutedRequest
	if readJSON(w, r, &in) {
		writeJSON(w, ExecutedReply{Executions: f.ledger.Executed(in.RequestIDs), TasksDone: f.ledger.Done(in.Jobs)})
	}
}

func (f *Fleet) states() []WorkerState {
	out := make([]WorkerState, 0, len(f.members))
	for _, m := range f.members {
		out = append(out, m.worker.state())
	}
	return out
}

func (w *Worker) state() WorkerState {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := WorkerState{ID: w.cfg.ID, DataCentre: w.cfg.DataCentre, Rack: w.cfg.Rack, Addr: w.cfg.Addr, Faults: w.faults}
	if lf := w.life; lf != nil {
		s.Tasks, s.Busy, s.Shard, s.Epoch = len(lf.tasks), lf.busy, lf.lease.Shard(), lf.lease.Epoch()
		s.LeaseValid = lf.lease.Valid(w.clock(w.now()))
	}
	return s
}

// readJSON refuses unknown fields, so that a misspelt fault is noticed.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A client that went away gets no answer.
	_ = json.NewEncoder(w).Encode(v)
}
