package platform

import (
	"encoding/json"
	"net/http"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const maxAdminBodyBytes = 1 << 20

// Faults is the body of POST /admin/faults and of its answer. The faults of an absent part are not changed.
type Faults struct {
	Log  *LogFaults  `json:"log,omitempty"`
	List *ListFaults `json:"list,omitempty"`
}

// StateRequest is the body of POST /admin/state. An empty state removes the override of an earlier request.
type StateRequest struct {
	ID    instance.ID    `json:"id"`
	State instance.State `json:"state"`
}

// Stats is the body of the answer to GET /admin/stats.
type Stats struct {
	Log  LogStats  `json:"log"`
	List ListStats `json:"list"`
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readJSON(w, r, &f) {
		return
	}
	if f.Log != nil {
		h.log.SetFaults(*f.Log)
	}
	if f.List != nil {
		h.list.SetFaults(*f.List)
	}
	h.getFaults(w, r)
}

func (h *Handler) getFaults(w http.ResponseWriter, _ *http.Request) {
	log, list := h.log.Faults(), h.list.Faults()
	writeJSON(w, Faults{Log: &log, List: &list})
}

func (h *Handler) setState(w http.ResponseWriter, r *http.Request) {
	var s StateRequest
	if !readJSON(w, r, &s) {
		return
	}
	switch s.State {
	case "", instance.StateLive, instance.StateLeaving:
		h.list.SetState(s.ID, s.State)
		writeJSON(w, s)
	default:
		http.Error(w, "state must be live, leaving or empty", http.StatusBadRequest)
	}
}

func (h *Handler) getStats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, Stats{Log: h.log.Stats(), List: h.list.Stats()})
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
