package gateway

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/config"
	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/upstream"
)

// Reasons for refusing submissions, records and job queries.
const (
	reasonMalformed     = "malformed"
	reasonNotAJob       = "kind-is-not-a-job"
	reasonTooLarge      = "task-fits-no-worker"
	reasonTooManyTasks  = "too-many-tasks"
	reasonSpending      = "spending-not-permitted"
	reasonUnknownShard  = "unknown-shard"
	reasonUnknownJob    = "unknown-job"
	reasonUnknownWorker = "unknown-worker"
	reasonLogDown       = "log-not-available"
	reasonLogSilent     = "log-did-not-confirm"
	reasonLogRefused    = "log-refused"
	reasonNoOwner       = "owner-not-reached"
)

const (
	// maxTasksPerJob limits the tasks of one job, so that one submission cannot exhaust an owner's memory.
	maxTasksPerJob = 10000
	// maxJobBodyBytes limits the JSON body of a submission.
	maxJobBodyBytes = 64 << 10
	// defaultJobDeadline applies if neither the submission nor the kind gives a deadline.
	defaultJobDeadline = 24 * time.Hour
	// jobSeparator separates the shard from the rest of a job id.
	jobSeparator = "~"
)

// submission is the JSON body of POST /v1/jobs. The deadline is relative to the arrival of the submission.
type submission struct {
	Kind       string `json:"kind"`
	Team       string `json:"team"`
	Tasks      int    `json:"tasks"`
	DeadlineMs int64  `json:"deadline_ms"`
	RunTimeMs  int64  `json:"run_time_ms"`
	// ID makes it safe to repeat the submission. It must have the form shard~name.
	ID string `json:"id"`
	// Key makes it safe to repeat the submission: every gateway derives the same shard and id from the same key.
	Key string `json:"key"`
}

// rejection is a refusal of a submission with its HTTP status.
type rejection struct {
	status int
	answer answer
}

func reject(status int, reason, detail string) *rejection {
	return &rejection{status, answer{state: contract.AnswerNotRun, reason: reason, detail: detail}}
}

func (g *Gateway) handleSubmit(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	v := g.deps.Config.Current()
	if v == nil {
		writeRefusal(w, http.StatusServiceUnavailable, answer{state: contract.AnswerNotRun, reason: reasonNoConfig})
		return
	}
	var s submission
	if rej := g.decodeBody(w, r, &s); rej != nil {
		writeRefusal(w, rej.status, rej.answer)
		return
	}
	body, rej := checkSubmission(now, v, s)
	if rej == nil {
		body.Job, rej = g.jobID(v.Manifest, s)
	}
	if rej != nil {
		writeRefusal(w, rej.status, rej.answer)
		return
	}
	if a, status := g.append(r.Context(), shardOf(body.Job), body); status != http.StatusOK {
		writeProblem(w, status, a, body.Job)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]string{"job": body.Job})
}

// decodeBody decodes the JSON body of a request.
func (g *Gateway) decodeBody(w http.ResponseWriter, r *http.Request, v any) *rejection {
	body, rej := g.readBody(w, r, maxJobBodyBytes)
	if rej != nil {
		return rej
	}
	defer body.Close()
	d := json.NewDecoder(bytes.NewReader(body.Bytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return reject(http.StatusBadRequest, reasonMalformed, err.Error())
	}
	return nil
}

// checkSubmission validates a submission against the manifest, so that a job that can never run is refused with the
// reason.
func checkSubmission(now time.Time, v *config.Version, s submission) (*contract.Submit, *rejection) {
	m := v.Manifest
	k, known := m.Kind(s.Kind)
	if !known {
		return nil, reject(http.StatusNotFound, reasonUnknownKind, s.Kind)
	}
	if k.Class == manifest.ClassRequest {
		return nil, reject(http.StatusBadRequest, reasonNotAJob, "send it with POST /v1/requests/"+k.Name)
	}
	team := cmp.Or(s.Team, k.Team)
	payingTeam, known := m.Team(team)
	if !known {
		return nil, reject(http.StatusBadRequest, reasonUnknownTeam, team)
	}
	if s.Tasks == 0 {
		s.Tasks = max(k.Replicas, 1)
	}
	if s.Tasks < 0 || s.DeadlineMs < 0 || s.RunTimeMs < 0 {
		return nil, reject(http.StatusBadRequest, reasonMalformed,
			"tasks, deadline_ms and run_time_ms must not be negative")
	}
	if s.Tasks > maxTasksPerJob {
		return nil, reject(http.StatusBadRequest, reasonTooManyTasks, "")
	}
	if !k.Size.Fits(m.Worker.Capacity) {
		return nil, reject(http.StatusBadRequest, reasonTooLarge, "kind "+k.Name)
	}
	runTime := cmp.Or(time.Duration(s.RunTimeMs)*time.Millisecond, k.RunTime)
	if rej := checkSpending(m, k, payingTeam, s.Tasks, runTime); rej != nil {
		return nil, rej
	}
	deadline := cmp.Or(time.Duration(s.DeadlineMs)*time.Millisecond, k.Deadline, defaultJobDeadline)
	return &contract.Submit{Kind: k.Name, Team: team, Tasks: s.Tasks, Submitted: now, Deadline: now.Add(deadline),
		Config: v.Offset, RunTime: time.Duration(s.RunTimeMs) * time.Millisecond,
		Service: k.Class == manifest.ClassService}, nil
}

// checkSpending compares the declared cost with the kind's limit for one task and the team's limit for a day. A service
// has no end, so only its owner can account for its cost.
func checkSpending(m *manifest.Manifest, k manifest.Kind, payingTeam manifest.Team, tasks int,
	runTime time.Duration) *rejection {
	if k.Class != manifest.ClassBatch {
		return nil
	}
	taskCost := m.Price(k, runTime)
	if k.Spending > 0 && taskCost > k.Spending {
		return reject(http.StatusBadRequest, reasonSpending,
			"one task is expected to cost more than kind "+k.Name+" permits")
	}
	if payingTeam.DailySpending > 0 && taskCost > payingTeam.DailySpending/int64(tasks) {
		return reject(http.StatusBadRequest, reasonSpending,
			"the job is expected to cost more than team "+payingTeam.Name+" may spend in a day")
	}
	return nil
}

// jobID chooses the shard of a job and returns the job's id.
func (g *Gateway) jobID(m *manifest.Manifest, s submission) (string, *rejection) {
	shards := manifest.Shards(m)
	if s.ID != "" {
		shard, name, found := strings.Cut(s.ID, jobSeparator)
		if !found || !validID(s.ID) || name == "" {
			return "", reject(http.StatusBadRequest, reasonMalformed, "id must have the form shard"+jobSeparator+"name")
		}
		for _, known := range shards {
			if known == shard {
				return s.ID, nil
			}
		}
		return "", reject(http.StatusBadRequest, reasonUnknownShard, shard)
	}
	if s.Key != "" {
		// The id is derived from the key, so that a repeat through another gateway denotes the same job.
		return rendezvousShard(shards, s.Key) + jobSeparator +
			uuid.NewSHA1(uuid.NameSpaceOID, []byte(s.Key)).String(), nil
	}
	shard, _ := postAndWait(g, func(now time.Time) string { return g.control.leastLoadedShard(now) })
	if shard == "" {
		shard = rendezvousShard(shards, uuid.NewString())
	}
	return shard + jobSeparator + uuid.NewString(), nil
}

// rendezvousShard returns the shard with the highest hash for a key (rendezvous hashing). When a shard is added or
// removed, only the keys of that shard move.
func rendezvousShard(shards []string, key string) string {
	best, bestHash := "", uint64(0)
	for _, s := range shards {
		if h := xxhash.Sum64String(s + "\x00" + key); best == "" || h > bestHash {
			best, bestHash = s, h
		}
	}
	return best
}

// maxReplyAge is the age up to which a grant reply is used to choose a shard.
const maxReplyAge = 5 * time.Second

// leastLoadedShard returns the shard with the most free cores; among equals the one with the fewest pending tasks. It
// returns an empty name if no reply is recent enough.
func (c *control) leastLoadedShard(now time.Time) string {
	best, bestState := "", (*grantRequestState)(nil)
	for name, s := range c.grantRequests {
		if now.Sub(s.lastReply) > maxReplyAge {
			continue
		}
		if bestState == nil || s.freeMilliCores > bestState.freeMilliCores ||
			s.freeMilliCores == bestState.freeMilliCores && s.pendingTasks < bestState.pendingTasks {
			best, bestState = name, s
		}
	}
	if bestState != nil {
		// The new job is counted, so that the next submissions within the same second go to other shards with as many
		// free cores.
		bestState.pendingTasks++
		bestState.freeMilliCores -= 1000
	}
	return best
}

func shardOf(job string) string {
	shard, _, _ := strings.Cut(job, jobSeparator)
	return shard
}

// append writes one record to the stream of a shard. The status is 200 if the log has confirmed the record.
func (g *Gateway) append(ctx context.Context, shard string, b contract.Body) (answer, int) {
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, b)
	if err != nil {
		return answer{state: contract.AnswerNotRun, reason: reasonMalformed, detail: err.Error()}, http.StatusBadRequest
	}
	if !g.breaker.allow(time.Now()) {
		return answer{state: contract.AnswerNotRun, reason: reasonLogDown,
			detail:     "an append failed a moment ago; nothing was written",
			retryAfter: appendTimeout}, http.StatusServiceUnavailable
	}
	// The append is repeated even if the caller disconnects, because the record may already be on its way to the log.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), appendTimeout)
	defer cancel()
	_, err = platform.AppendUntil(ctx, g.deps.Log, datacentre.ShardStream(shard), [][]byte{data})
	var unavailable *platform.UnavailableError
	g.breaker.record(time.Now(), !errors.As(err, &unavailable))
	switch {
	case err == nil:
		return answer{}, http.StatusOK
	case errors.As(err, &unavailable) && unavailable.MayHaveApplied:
		return answer{state: contract.AnswerUnknown, reason: reasonLogSilent, detail: "repeat with the same id",
			retryAfter: time.Second}, http.StatusGatewayTimeout
	case errors.As(err, &unavailable):
		return answer{state: contract.AnswerNotRun, reason: reasonLogDown, detail: err.Error(),
			retryAfter: appendTimeout}, http.StatusServiceUnavailable
	}
	return answer{state: contract.AnswerNotRun, reason: reasonLogRefused, detail: err.Error()},
		http.StatusServiceUnavailable
}

func (g *Gateway) handleCancel(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !g.checkJobShard(w, id) {
		return
	}
	if a, status := g.append(r.Context(), shardOf(id),
		&contract.Cancel{Job: id, At: time.Now()}); status != http.StatusOK {
		writeProblem(w, status, a, id)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]string{"job": id})
}

// handleDrain appends a Drain record to the stream of the worker's shard.
func (g *Gateway) handleDrain(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Worker instance.ID `json:"worker"`
		Drain  bool        `json:"drain"`
	}
	if rej := g.decodeBody(w, r, &in); rej != nil {
		writeRefusal(w, rej.status, rej.answer)
		return
	}
	m, known := g.directory.Load().workers[in.Worker]
	v := g.deps.Config.Current()
	if !known || v == nil {
		writeRefusal(w, http.StatusNotFound, answer{state: contract.AnswerNotRun, reason: reasonUnknownWorker,
			detail: string(in.Worker)})
		return
	}
	shard := datacentre.Shard(m.DataCentre, m.Rack, max(v.Manifest.RacksPerShard, 1))
	if a, status := g.append(r.Context(), shard,
		&contract.Drain{Worker: in.Worker, Drain: in.Drain}); status != http.StatusOK {
		writeRefusal(w, status, a)
		return
	}
	writeJSON(w, http.StatusAccepted, map[string]any{"worker": in.Worker, "drain": in.Drain})
}

func digestOf(body []byte) string { return upstream.Digest(body) }
