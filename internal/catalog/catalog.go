// Package catalog is what a process knows of all submissions: everything that the log holds of them, kept current by followers.
package catalog

import (
	"log/slog"
	"strings"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/clock"
	"clementinewalk.example/clementinewalk/internal/eventlog"
	"clementinewalk.example/clementinewalk/internal/interference"
	"clementinewalk.example/clementinewalk/internal/workflow"
)

// Keys of the two topics. A submission's own key is its id.
const (
	cancelPrefix = "cancel/"
	ownerKey     = "owner"
	learnedKey   = "interference"
	silentKey    = "silent"
)

// SubmissionEntry returns the entry that makes a submission accepted. It returns an *workflow.EncodeError.
func SubmissionEntry(s *workflow.Submission) (eventlog.Entry, error) {
	b, err := workflow.Encode("submission", s)
	return eventlog.Entry{Key: string(s.Job), Value: b}, err
}

// CancelEntry returns the entry that cancels a submission.
func CancelEntry(id workflow.JobID) eventlog.Entry {
	return eventlog.Entry{Key: cancelPrefix + string(id), Value: []byte{1}}
}

// ProgressEntry returns the entry with the state of a submission. It returns an *workflow.EncodeError.
func ProgressEntry(id workflow.JobID, r *workflow.Record) (eventlog.Entry, error) {
	b, err := workflow.Encode("progress", r)
	return eventlog.Entry{Key: string(id), Value: b}, err
}

// Ownership is the record with which an instance takes all submissions over, and shows that it still has them.
type Ownership struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Instance string
	Claim    string
	// Released tells that the owner has stopped and sends no more orders.
	Released bool
}

// OwnerEntry returns the entry of an ownership. It returns an *workflow.EncodeError.
func OwnerEntry(o *Ownership) (eventlog.Entry, error) {
	b, err := workflow.Encode("ownership", o)
	return eventlog.Entry{Key: ownerKey, Value: b}, err
}

// LearnedEntry returns the entry with what owners have learned of disturbance. It returns an *workflow.EncodeError.
func LearnedEntry(s interference.State) (eventlog.Entry, error) {
	b, err := workflow.Encode("interference", s)
	return eventlog.Entry{Key: learnedKey, Value: b}, err
}

// SilentWorker is a worker that has left the owner without an answer. It gets no lease before the owner has stored that it answers again.
type SilentWorker struct {
	_    struct{} `cbor:",toarray"`
	Born int64
	// Left is at most how long its tasks may still run, from the time at which the record was written.
	Left time.Duration
}

// SilentEntry returns the entry with all silent workers. It returns an *workflow.EncodeError.
func SilentEntry(workers map[string]SilentWorker) (eventlog.Entry, error) {
	b, err := workflow.Encode("silent workers", workers)
	return eventlog.Entry{Key: silentKey, Value: b}, err
}

// Job is what is known of one submission. It is shared and never changed after it is published.
type Job struct {
	Submission *workflow.Submission
	Cancelled  bool
	// Record is nil before the owner has decided anything.
	Record *workflow.Record
	// RecordOffset is where Record stands in the log.
	RecordOffset int64
	// Offset orders submissions by acceptance.
	Offset int64
}

// State returns what a caller is told.
func (j *Job) State() workflow.State {
	switch {
	case j.Record != nil && j.Record.State.Over():
		return j.Record.State
	case j.Cancelled:
		return workflow.Cancelled
	case j.Record != nil:
		return j.Record.State
	}
	return workflow.Queued
}

// Catalog holds all submissions. Its methods may be called from any goroutine.
type Catalog struct {
	logger *slog.Logger
	mu     sync.RWMutex
	jobs   map[workflow.JobID]*Job
	// orphans are cancellations and records whose submission has not been read yet.
	orphans map[workflow.JobID]*Job
	owner   Ownership
	learned []byte
	// silent was written no later than silentAt.
	silent   map[string]SilentWorker
	silentAt time.Duration
	// silentOffset is where silent stands in the log.
	silentOffset int64
}

// New returns an empty catalog.
func New(l *slog.Logger) *Catalog {
	return &Catalog{logger: l, jobs: map[workflow.JobID]*Job{}, orphans: map[workflow.JobID]*Job{}}
}

// Find returns a submission, or nil.
func (c *Catalog) Find(id workflow.JobID) *Job {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.jobs[id]
}

// Waiting counts the submissions of a queue of which no task has started.
func (c *Catalog) Waiting(queueName string) int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	n := 0
	for _, j := range c.jobs {
		if j.Submission.Terms.Queue == queueName && j.State() == workflow.Queued {
			n++
		}
	}
	return n
}

// All returns every submission.
func (c *Catalog) All() []*Job {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make([]*Job, 0, len(c.jobs))
	for _, j := range c.jobs {
		out = append(out, j)
	}
	return out
}

// Owner returns the newest ownership; its epoch is 0 before the first.
func (c *Catalog) Owner() Ownership {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.owner
}

// ForgetSubmission returns the entries that remove a submission and its cancellation. They are stored before ForgetProgress: a submission without its
// record would run again.
func ForgetSubmission(id workflow.JobID) []eventlog.Entry {
	return []eventlog.Entry{{Key: string(id)}, {Key: cancelPrefix + string(id)}}
}

// ForgetProgress returns the entry that removes the record of a submission.
func ForgetProgress(id workflow.JobID) eventlog.Entry { return eventlog.Entry{Key: string(id)} }

// Leftovers returns the submissions that are removed and whose records are not: their owner ended between the two.
func (c *Catalog) Leftovers() []workflow.JobID {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var ids []workflow.JobID
	for id, o := range c.orphans {
		if o.Record != nil && o.Record.State.Over() {
			ids = append(ids, id)
		}
	}
	return ids
}

// Complete reports whether the submission of every record has been read. An owner that lacks one would take its tasks for strays. Records of submissions
// that are over may be leftovers of a removal.
func (c *Catalog) Complete() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, o := range c.orphans {
		if o.Record != nil && (!o.Record.State.Over() || len(o.Record.Tasks) > 0) {
			return false
		}
	}
	return true
}

// ApplySubmissions takes over what callers handed in and cancelled, and returns the submissions that are new or changed.
func (c *Catalog) ApplySubmissions(b eventlog.Batch) []*Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []*Job
	for _, e := range b.Entries {
		if j := c.applySubmission(e); j != nil {
			changed = append(changed, j)
		}
	}
	return changed
}

func (c *Catalog) applySubmission(e eventlog.Entry) *Job {
	if e.Value == nil {
		c.forget(e.Key)
		return nil
	}
	if len(e.Key) > len(cancelPrefix) && e.Key[:len(cancelPrefix)] == cancelPrefix {
		return c.update(workflow.JobID(e.Key[len(cancelPrefix):]), func(j *Job) bool {
			was := j.Cancelled
			j.Cancelled = true
			return !was
		})
	}
	id := workflow.JobID(e.Key)
	if c.jobs[id] != nil {
		return nil
	}
	var s workflow.Submission
	if err := workflow.Decode("submission", e.Value, &s); err != nil {
		c.logger.Error("submission left out", "job", id, "offset", e.Offset, "error", err)
		return nil
	}
	j := Job{}
	if o := c.orphans[id]; o != nil {
		j = *o
		delete(c.orphans, id)
	}
	j.Submission, j.Offset = &s, e.Offset
	c.jobs[id] = &j
	return &j
}

// forget takes the removal of a submission or a cancellation over. A record stays until it is removed itself.
func (c *Catalog) forget(key string) {
	id, cancel := strings.CutPrefix(key, cancelPrefix)
	j := c.jobs[workflow.JobID(id)]
	switch {
	case cancel && j == nil && c.orphans[workflow.JobID(id)] != nil && c.orphans[workflow.JobID(id)].Record == nil:
		delete(c.orphans, workflow.JobID(id))
	case cancel || j == nil:
	default:
		delete(c.jobs, workflow.JobID(id))
		if j.Record != nil {
			c.orphans[workflow.JobID(id)] = &Job{Record: j.Record, RecordOffset: j.RecordOffset}
		}
	}
}

// update publishes a changed copy of a submission and returns it, or nil if it is unknown or f changes nothing.
func (c *Catalog) update(id workflow.JobID, f func(*Job) bool) *Job {
	if j := c.jobs[id]; j != nil {
		n := *j
		if !f(&n) {
			return nil
		}
		c.jobs[id] = &n
		return &n
	}
	o := c.orphans[id]
	if o == nil {
		o = &Job{}
		c.orphans[id] = o
	}
	f(o)
	return nil
}

// ApplyProgress takes over what the owner wrote and returns the newest ownership.
func (c *Catalog) ApplyProgress(entries []eventlog.Entry) Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		switch e.Key {
		case ownerKey:
			c.applyOwner(e)
			continue
		case learnedKey:
			c.learned = e.Value
			continue
		case silentKey:
			c.applySilent(e)
			continue
		}
		if e.Value == nil {
			delete(c.orphans, workflow.JobID(e.Key))
			continue
		}
		var r workflow.Record
		if err := workflow.Decode("progress", e.Value, &r); err != nil {
			c.logger.Error("progress left out", "job", e.Key, "offset", e.Offset, "error", err)
			continue
		}
		c.update(workflow.JobID(e.Key), func(j *Job) bool {
			// The owner applies its own records at once and reads them again later.
			if j.Record != nil && e.Offset <= j.RecordOffset {
				return false
			}
			j.Record, j.RecordOffset = &r, e.Offset
			return true
		})
	}
	return c.owner
}

func (c *Catalog) applyOwner(e eventlog.Entry) {
	var o Ownership
	if err := workflow.Decode("ownership", e.Value, &o); err != nil {
		c.logger.Error("ownership left out", "offset", e.Offset, "error", err)
		return
	}
	if o.Epoch >= c.owner.Epoch {
		c.owner = o
	}
}

// Learned returns what owners have learned of disturbance, empty if nothing is stored or it cannot be read.
func (c *Catalog) Learned() interference.State {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var s interference.State
	if c.learned == nil {
		return s
	}
	if err := workflow.Decode("interference", c.learned, &s); err != nil {
		c.logger.Error("learned disturbance left out", "error", err)
		return interference.State{}
	}
	return s
}

func (c *Catalog) applySilent(e eventlog.Entry) {
	// The owner applies its own records at once and reads them again later.
	if e.Offset < c.silentOffset {
		return
	}
	var silent map[string]SilentWorker
	if err := workflow.Decode("silent workers", e.Value, &silent); err != nil {
		c.logger.Error("silent workers left out", "offset", e.Offset, "error", err)
		silent = nil
	}
	if e.Offset > c.silentOffset || c.silentAt == 0 {
		c.silentAt = clock.Now()
	}
	c.silent, c.silentOffset = silent, e.Offset
}

// Silent returns the workers that the newest owner has stored as silent, with the time since the instance was started by which their tasks have ended.
func (c *Catalog) Silent() map[Lifetime]time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[Lifetime]time.Duration, len(c.silent))
	for id, s := range c.silent {
		out[Lifetime{ID: id, Born: s.Born}] = c.silentAt + s.Left
	}
	return out
}

// SilentAt returns when the newest statement on silent workers was read.
func (c *Catalog) SilentAt() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.silentAt
}

// Lifetime is one start of a worker. Born is the Unix millisecond of the start.
type Lifetime struct {
	ID   string
	Born int64
}

// Freshness is how current a view is, in time since the instance was started.
type Freshness interface {
	// AsOf returns the time up to which the view is complete, and false before the first read.
	AsOf() (time.Duration, bool)
}
