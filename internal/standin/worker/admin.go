package worker

import (
	"encoding/json"
	"net/http"
	"slices"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const maxAdminBodyBytes = 8 << 20

// Selection selects workers. A worker is selected if every non-empty field matches it; the empty selection selects all.
type Selection struct {
	Workers    []instance.ID `json:"workers,omitempty"`
	DataCentre string        `json:"data_centre,omitempty"`
	Rack       *int          `json:"rack,omitempty"`
}

// matches reports whether a worker is selected.
func (s Selection) matches(c Config) bool {
	return (len(s.Workers) == 0 || slices.Contains(s.Workers, c.ID)) &&
		(s.DataCentre == "" || s.DataCentre == c.DataCentre) &&
		(s.Rack == nil || *s.Rack == c.Rack)
}

// FaultsRequest is the body of POST /admin/faults. The faults replace those of the selected workers. The answer is a
// FaultsReply.
type FaultsRequest struct {
	Selection
	Faults Faults `json:"faults"`
}

// FaultsReply lists the workers whose faults were replaced.
type FaultsReply struct {
	Workers []instance.ID `json:"workers"`
	// Errors holds the errors of endpoints that could not be reopened.
	Errors []string `json:"errors,omitempty"`
}

// ExecutedRequest is the body of POST /admin/executed. The answer is an ExecutedReply.
type ExecutedRequest struct {
	RequestIDs []string `json:"request_ids,omitempty"`
	Jobs       []string `json:"jobs,omitempty"`
}

// ExecutedReply holds the number of executions of each request id and the number of distinct tasks done of each job.
type ExecutedReply struct {
	Executions map[string]int `json:"executions"`
	TasksDone  map[string]int `json:"tasks_done"`
}

// WorkerState is the state of one worker in the answer to GET /admin/workers.
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

// AdminHandler returns the handler of the admin API, whose paths begin with /admin/.
func (f *Fleet) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /admin/faults", f.handleFaults)
	mux.HandleFunc("POST /admin/executed", f.handleExecuted)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.Stats()) })
	mux.HandleFunc("GET /admin/workers", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, f.states()) })
	mux.HandleFunc("GET /admin/interference", f.handleInterference)
	return mux
}

// handleInterference answers with the true interference of a pair of kinds, with which estimates are compared.
func (f *Fleet) handleInterference(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	writeJSON(w, f.members[0].worker.cfg.Model.PairInterference(q.Get("request"), q.Get("task")))
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
			f.logger.Error("could not reopen worker endpoint", "worker", m.worker.cfg.ID, "error", err)
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
	f.logger.Info("worker faults replaced", "workers", len(out.Workers), "faults", in.Faults)
	// An immediate refresh keeps the refresh period from adding to the read lag of the list.
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
	if bs := w.bootState; bs != nil {
		s.Tasks, s.Busy, s.Shard, s.Epoch = len(bs.tasks), bs.busy, bs.lease.Shard(), bs.lease.Epoch()
		s.LeaseValid = bs.lease.Valid(w.clock(w.now()))
	}
	return s
}

// readJSON decodes the body of a request into v, or answers with status 400 and returns false. It refuses unknown
// fields, so that a misspelt fault is an error.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAdminBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
