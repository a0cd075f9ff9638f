// Package catalog holds an instance's view of all submissions: the content of the log, kept current by followers.
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

// Keys in the topics of submissions, progress and tasks. The key of a submission, and of its records, is its id.
const (
	cancelPrefix    = "cancel/"
	endpointPrefix  = "endpoint/"
	ownerKey        = "owner"
	interferenceKey = "interference"
	silentKey       = "silent"
	suspectsKey     = "suspects"
	settledKey      = "settled"
)

// RecordKind returns the kind of the record with a key, for logs and metrics.
func RecordKind(key string) string {
	switch key {
	case ownerKey, interferenceKey, silentKey, suspectsKey, settledKey, backlogKey:
		return key
	}
	for _, prefix := range []string{cancelPrefix, endpointPrefix, endedPrefix, copiesPrefix, partPrefix, partedPrefix, schedulePrefix} {
		if strings.HasPrefix(key, prefix) {
			return strings.TrimSuffix(prefix, "/")
		}
	}
	return "submission"
}

// SubmissionEntry returns the entry with which a submission is accepted. Its error is a *workflow.EncodeError.
func SubmissionEntry(s *workflow.Submission) (eventlog.Entry, error) {
	b, err := workflow.Encode("submission", s)
	return eventlog.Entry{Key: string(s.Job), Value: b}, err
}

// CancelEntry returns the entry that cancels a submission.
func CancelEntry(id workflow.JobID) eventlog.Entry {
	return eventlog.Entry{Key: cancelPrefix + string(id), Value: []byte{1}}
}

// StateEntry returns the entry of the progress topic with the state of a submission. Its error is a
// *workflow.EncodeError.
func StateEntry(id workflow.JobID, s workflow.State) (eventlog.Entry, error) {
	b, err := workflow.Encode("progress", &workflow.Record{State: s})
	return eventlog.Entry{Key: string(id), Value: b}, err
}

// TasksEntry returns the entry of the tasks topic with the record of a submission and its tasks. Its error is a
// *workflow.EncodeError.
func TasksEntry(id workflow.JobID, r *workflow.Record) (eventlog.Entry, error) {
	b, err := workflow.Encode("task record", r)
	return eventlog.Entry{Key: string(id), Value: b}, err
}

// Ownership is the record with which an instance claims the ownership of all submissions. The owner repeats it as a
// heartbeat.
type Ownership struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Instance string
	// Claim is unique to each claim; empty in heartbeats and releases.
	Claim string
	// Released reports whether the owner has stopped and sends no more orders.
	Released bool
}

// IsClaimOf reports whether the record is a claim of an instance.
func (o *Ownership) IsClaimOf(instance string) bool { return o.Claim != "" && o.Instance == instance }

// OwnerEntry returns the entry with an ownership. Its error is a *workflow.EncodeError.
func OwnerEntry(o *Ownership) (eventlog.Entry, error) {
	b, err := workflow.Encode("ownership", o)
	return eventlog.Entry{Key: ownerKey, Value: b}, err
}

// Settled is the record with which an owner states that owners before its epoch no longer act on tasks, except on those of
// the workers in Unfenced, which may still accept their calls.
type Settled struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	Unfenced []Incarnation
}

// SettledEntry returns the entry with a settled epoch. Its error is a *workflow.EncodeError.
func SettledEntry(s *Settled) (eventlog.Entry, error) {
	b, err := workflow.Encode("settled epoch", s)
	return eventlog.Entry{Key: settledKey, Value: b}, err
}

// InterferenceEntry returns the entry with the state of the interference model. Its error is a *workflow.EncodeError.
func InterferenceEntry(s interference.State) (eventlog.Entry, error) {
	b, err := workflow.Encode("interference", s)
	return eventlog.Entry{Key: interferenceKey, Value: b}, err
}

// SilentWorker is the record of a worker that does not answer the owner. The worker gets no lease until an owner has
// removed the record from the log.
type SilentWorker struct {
	_         struct{} `cbor:",toarray"`
	StartedAt int64
	// Remaining is the maximum time for which its tasks may still run after the record was written.
	Remaining time.Duration
}

// IsSilentEntry reports whether an entry holds the silent workers.
func IsSilentEntry(e eventlog.Entry) bool { return e.Key == silentKey }

// SilentEntry returns the entry with all silent workers, by id. Its error is a *workflow.EncodeError.
func SilentEntry(workers map[string]SilentWorker) (eventlog.Entry, error) {
	b, err := workflow.Encode("silent workers", workers)
	return eventlog.Entry{Key: silentKey, Value: b}, err
}

// Crashes counts the workers that crashed while they ran a task.
type Crashes struct {
	_     struct{} `cbor:",toarray"`
	Total int
	// Blame is the weighted number of crashes right after a start of the task.
	Blame int
}

// SuspectsEntry returns the entry with all tasks under which workers have crashed, by the name of the task. Its error is
// a *workflow.EncodeError.
func SuspectsEntry(tasks map[string]Crashes) (eventlog.Entry, error) {
	b, err := workflow.Encode("suspected tasks", tasks)
	return eventlog.Entry{Key: suspectsKey, Value: b}, err
}

// Job is the state of one submission. It is shared, and not changed after it is published.
type Job struct {
	Submission *workflow.Submission
	Cancelled  bool
	// Record holds the published state, without tasks. It is nil before an owner has published one.
	Record *workflow.Record
	// Tasks is the record with the tasks. Only the jobs that Restore returns have one.
	Tasks *workflow.Record
	// RecordOffset is the offset of Record in the log.
	RecordOffset int64
	// Offset is the offset of the submission in the log; it orders submissions by acceptance.
	Offset int64
	// live and retained are the memory that the submission takes until it is over and from then on, in bytes.
	live, retained int64
}

// footprint returns the memory that the submission takes now; 0 for nil.
func (j *Job) footprint() int64 {
	switch {
	case j == nil || j.Submission == nil:
		return 0
	case j.State().Over():
		return j.retained
	}
	return j.live
}

// State returns the state that is reported to callers.
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
	// endpoints holds the published relays by instance.
	endpoints map[string]Endpoint
	// orphans holds the cancellations and records whose submission has not been read or was removed.
	orphans map[workflow.JobID]*Job
	owner   Ownership
	// silent holds the recorded silent workers. silentReadAt is when the record was read, which is not before it was
	// written.
	silent       map[string]SilentWorker
	silentReadAt time.Duration
	// silentOffset is the offset of silent in the log.
	silentOffset int64
	backlog      publishedBacklog
	// acceptedBytes is the sum of the footprints of jobs.
	acceptedBytes int64
	// progressAsOf is the time up to which the progress topic was read, 0 before the first read.
	progressAsOf time.Duration
}

// New returns an empty catalog.
func New(l *slog.Logger) *Catalog {
	return &Catalog{logger: l, jobs: map[workflow.JobID]*Job{}, orphans: map[workflow.JobID]*Job{},
		endpoints: map[string]Endpoint{}}
}

// Find returns a submission, or nil if it is unknown.
func (c *Catalog) Find(id workflow.JobID) *Job {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.jobs[id]
}

// AcceptedBytes returns the memory that an owner takes for all submissions that have been read, in bytes.
func (c *Catalog) AcceptedBytes() int64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.acceptedBytes
}

// setJob replaces a submission, or removes it if j is nil. It requires c.mu.
func (c *Catalog) setJob(id workflow.JobID, j *Job) {
	c.acceptedBytes += j.footprint() - c.jobs[id].footprint()
	if j == nil {
		delete(c.jobs, id)
		return
	}
	c.jobs[id] = j
}

// CountWaiting returns the number of submissions of a queue of which no task is known to have begun.
func (c *Catalog) CountWaiting(queueName string) int {
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

// All returns all submissions.
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

// RemoveSubmissionEntries returns the entries that remove a submission and its cancellation. They must be stored
// before its records are removed: a submission without them would run again.
func RemoveSubmissionEntries(id workflow.JobID) []eventlog.Entry {
	return []eventlog.Entry{{Key: string(id)}, {Key: cancelPrefix + string(id)}}
}

// RemoveRecordEntry returns the entry that removes the record of a submission, first from the tasks topic and then from
// the progress topic: RecordsToRemove finds what is left in the latter.
func RemoveRecordEntry(id workflow.JobID) eventlog.Entry { return eventlog.Entry{Key: string(id)} }

// RecordsToRemove returns the submissions that were removed while their records remain. An owner that ends between the
// removals leaves such records.
func (c *Catalog) RecordsToRemove() []workflow.JobID {
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

// Complete reports whether the submission of every published state has been read. An owner that lacks one would stop
// its tasks as unexpected. States of submissions that are over are ignored: they may remain from a removal.
func (c *Catalog) Complete() bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.complete()
}

// complete is Complete; it requires c.mu.
func (c *Catalog) complete() bool {
	for _, o := range c.orphans {
		if o.Record != nil && !o.Record.State.Over() {
			return false
		}
	}
	return true
}

// ApplySubmissions applies submissions, cancellations and removals, and returns the submissions that are new or
// changed.
func (c *Catalog) ApplySubmissions(b eventlog.Batch) []*Job {
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.Reset {
		// A withdrawn endpoint is not in the batch.
		clear(c.endpoints)
	}
	var changed []*Job
	for _, e := range b.Entries {
		if j := c.applySubmission(e); j != nil {
			changed = append(changed, j)
		}
	}
	return changed
}

func (c *Catalog) applySubmission(e eventlog.Entry) *Job {
	if instance, ok := strings.CutPrefix(e.Key, endpointPrefix); ok {
		c.applyEndpoint(instance, e)
		return nil
	}
	if e.Value == nil {
		c.applyRemoval(e.Key)
		return nil
	}
	if len(e.Key) > len(cancelPrefix) && e.Key[:len(cancelPrefix)] == cancelPrefix {
		return c.update(workflow.JobID(e.Key[len(cancelPrefix):]), func(j *Job) bool {
			wasCancelled := j.Cancelled
			j.Cancelled = true
			return !wasCancelled
		})
	}
	id := workflow.JobID(e.Key)
	if c.jobs[id] != nil {
		return nil
	}
	var s workflow.Submission
	if err := workflow.Decode("submission", e.Value, &s); err != nil {
		c.logger.Error("cannot decode submission, ignoring it", "job", id, "offset", e.Offset, "error", err)
		return nil
	}
	j := Job{}
	if o := c.orphans[id]; o != nil {
		j = *o
		delete(c.orphans, id)
	}
	j.Submission, j.Offset = &s, e.Offset
	// A stored submission may be from a version without limits, whose figures must not be added up before they are checked.
	if s.Check() == nil {
		j.live, j.retained = s.Footprint(), s.RetainedFootprint()
	}
	c.setJob(id, &j)
	return &j
}

// applyRemoval applies the removal of a submission or a cancellation. The record of a removed submission
// stays in orphans until it is removed itself.
func (c *Catalog) applyRemoval(key string) {
	id, isCancellation := strings.CutPrefix(key, cancelPrefix)
	j := c.jobs[workflow.JobID(id)]
	switch {
	case isCancellation && j == nil && c.orphans[workflow.JobID(id)] != nil &&
		c.orphans[workflow.JobID(id)].Record == nil:
		delete(c.orphans, workflow.JobID(id))
	case isCancellation || j == nil:
	default:
		c.setJob(workflow.JobID(id), nil)
		if j.Record != nil {
			c.orphans[workflow.JobID(id)] = &Job{Record: j.Record, RecordOffset: j.RecordOffset}
		}
	}
}

// update publishes a changed copy of a submission and returns it, or nil if the submission is unknown or f changes
// nothing.
func (c *Catalog) update(id workflow.JobID, f func(*Job) bool) *Job {
	if j := c.jobs[id]; j != nil {
		n := *j
		if !f(&n) {
			return nil
		}
		c.setJob(id, &n)
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

// ApplyProgress applies entries of the progress topic and returns the newest ownership.
func (c *Catalog) ApplyProgress(entries []eventlog.Entry) Ownership {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range entries {
		switch e.Key {
		case ownerKey:
			c.applyOwner(e)
			continue
		case silentKey:
			c.applySilent(e)
			continue
		case backlogKey:
			c.applyBacklog(e)
			continue
		}
		if e.Value == nil {
			delete(c.orphans, workflow.JobID(e.Key))
			continue
		}
		var r workflow.Record
		if err := workflow.Decode("progress", e.Value, &r); err != nil {
			c.logger.Error("cannot decode submission record, ignoring it", "job", e.Key, "offset", e.Offset,
				"error", err)
			continue
		}
		c.update(workflow.JobID(e.Key), func(j *Job) bool {
			// The owner applies its own records immediately, and ignores them when it reads them again later.
			if j.Record != nil && e.Offset <= j.RecordOffset {
				return false
			}
			j.Record, j.RecordOffset = &workflow.Record{State: r.State}, e.Offset
			return true
		})
	}
	return c.owner
}

func (c *Catalog) applyOwner(e eventlog.Entry) {
	var o Ownership
	if err := workflow.Decode("ownership", e.Value, &o); err != nil {
		c.logger.Error("cannot decode ownership, ignoring it", "offset", e.Offset, "error", err)
		return
	}
	if o.Epoch >= c.owner.Epoch {
		c.owner = o
	}
}

func (c *Catalog) applySilent(e eventlog.Entry) {
	// The owner applies its own records immediately, and may read older ones later.
	if e.Offset < c.silentOffset {
		return
	}
	var silent map[string]SilentWorker
	if err := workflow.Decode("silent workers", e.Value, &silent); err != nil {
		c.logger.Error("cannot decode silent workers, assuming none", "offset", e.Offset, "error", err)
		silent = nil
	}
	if e.Offset > c.silentOffset || c.silentReadAt == 0 {
		c.silentReadAt = clock.Now()
	}
	c.silent, c.silentOffset = silent, e.Offset
}

// SilentLeases returns the recorded silent workers, each with the time by which its tasks have certainly ended. Times
// count from the start of the instance.
func (c *Catalog) SilentLeases() map[Incarnation]time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	out := make(map[Incarnation]time.Duration, len(c.silent))
	for id, s := range c.silent {
		out[Incarnation{ID: id, StartedAt: s.StartedAt}] = c.silentReadAt + s.Remaining
	}
	return out
}

// SilentReadAt returns when the newest record of silent workers was read.
func (c *Catalog) SilentReadAt() time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.silentReadAt
}

// Incarnation identifies one start of a worker. StartedAt is the time of the start in Unix milliseconds.
type Incarnation struct {
	_         struct{} `cbor:",toarray"`
	ID        string
	StartedAt int64
}

// Freshness is implemented by views of the log. Times count from the start of the instance.
type Freshness interface {
	// AsOf returns the time up to which the view is complete, and false before the first read.
	AsOf() (time.Duration, bool)
}
