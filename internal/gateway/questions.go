package gateway

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/manifest"
)

// ownerQueryTimeout limits the time for all queries to owners that one call of a caller causes.
const ownerQueryTimeout = 3 * time.Second

// checkJobShard reports whether the shard of a job id exists. If not, it writes the refusal.
func (g *Gateway) checkJobShard(w http.ResponseWriter, job string) bool {
	v := g.deps.Config.Current()
	if v == nil {
		writeRefusal(w, http.StatusServiceUnavailable, answer{state: contract.AnswerNotRun, reason: reasonNoConfig})
		return false
	}
	if !slices.Contains(manifest.Shards(v.Manifest), shardOf(job)) || !strings.Contains(job, jobSeparator) {
		writeRefusal(w, http.StatusNotFound, answer{state: contract.AnswerNotRun, reason: reasonUnknownJob,
			detail: job})
		return false
	}
	return true
}

// queryJobs asks the owner of a shard for one job, or for all jobs if job is empty.
func (g *Gateway) queryJobs(ctx context.Context, shard, job string) ([]contract.JobState, error) {
	m, _, err := g.callOwner(ctx, shard, &contract.JobStatus{Shard: shard, Job: job})
	if err != nil {
		return nil, err
	}
	r, ok := m.(*contract.JobStatusReply)
	if !ok {
		return nil, &ReplyError{Got: messageName(m)}
	}
	return r.Jobs, nil
}

func (g *Gateway) handleJob(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !g.checkJobShard(w, id) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), ownerQueryTimeout)
	defer cancel()
	jobs, err := g.queryJobs(ctx, shardOf(id), id)
	switch {
	case err != nil:
		writeRefusal(w, http.StatusServiceUnavailable, answer{state: contract.AnswerNotRun, reason: reasonNoOwner,
			detail: err.Error()})
	case len(jobs) == 0:
		writeRefusal(w, http.StatusNotFound, answer{state: contract.AnswerNotRun, reason: reasonUnknownJob, detail: id})
	default:
		writeJSON(w, http.StatusOK, g.addMovedTasks(ctx, jobs[0]))
	}
}

// addMovedTasks adds the tasks of a job that moved to other shards to its state.
func (g *Gateway) addMovedTasks(ctx context.Context, j contract.JobState) contract.JobState {
	if j.Transferred == 0 {
		return j
	}
	var mu sync.Mutex
	var parts []contract.JobState
	g.forEachShard(ctx, func(shard string) error {
		if shard == j.Shard {
			return nil
		}
		found, err := g.queryJobs(ctx, shard, j.Job)
		mu.Lock()
		defer mu.Unlock()
		parts = append(parts, found...)
		return err
	})
	return sumParts(j, parts)
}

// sumParts adds the parts of a job in other shards to the state in the shard that the job was submitted to.
func sumParts(j contract.JobState, parts []contract.JobState) contract.JobState {
	for _, p := range parts {
		j.Pending, j.Running, j.Done = j.Pending+p.Pending, j.Running+p.Running, j.Done+p.Done
		j.Failed, j.Cancelled = j.Failed+p.Failed, j.Cancelled+p.Cancelled
		j.Attempts, j.Evicted, j.Resumed = j.Attempts+p.Attempts, j.Evicted+p.Evicted, j.Resumed+p.Resumed
		j.Cost += p.Cost
		if p.Ended.After(j.Ended) {
			j.Ended = p.Ended
		}
	}
	// Tasks in transfer between two shards, and those of a shard that did not answer, have not ended.
	j.Pending += max(0, j.Tasks-j.Pending-j.Running-j.Done-j.Failed-j.Cancelled)
	if j.Pending+j.Running > 0 {
		j.Ended = time.Time{}
	}
	return j
}

// forEachShard runs f for all shards concurrently and returns the shards for which it failed.
func (g *Gateway) forEachShard(ctx context.Context, f func(shard string) error) []string {
	v := g.deps.Config.Current()
	if v == nil {
		return nil
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	failed := []string{}
	for _, shard := range manifest.Shards(v.Manifest) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := f(shard); err != nil {
				g.log.Debug("shard did not answer", "shard", shard, "error", err)
				mu.Lock()
				failed = append(failed, shard)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	slices.Sort(failed)
	return failed
}

// headerMissing lists the shards or schedulers whose part of the answer is missing because they did not reply.
const headerMissing = "Clementine-Missing"

// handleJobs returns the jobs of all shards as a JSON array.
func (g *Gateway) handleJobs(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), ownerQueryTimeout)
	defer cancel()
	all := []contract.JobState{}
	var mu sync.Mutex
	missing := g.forEachShard(ctx, func(shard string) error {
		jobs, err := g.queryJobs(ctx, shard, "")
		mu.Lock()
		defer mu.Unlock()
		all = append(all, jobs...)
		return err
	})
	slices.SortFunc(all, func(a, b contract.JobState) int {
		return cmp.Or(a.Submitted.Compare(b.Submitted), cmp.Compare(a.Job, b.Job), cmp.Compare(a.Shard, b.Shard))
	})
	setMissing(w, missing)
	writeJSON(w, http.StatusOK, all)
}

func setMissing(w http.ResponseWriter, missing []string) {
	if len(missing) > 0 {
		w.Header().Set(headerMissing, strings.Join(missing, ","))
	}
}

// handleExplain asks the owner of a job's or worker's shard. The shard of any other subject is unknown, so all owners
// are asked.
func (g *Gateway) handleExplain(w http.ResponseWriter, r *http.Request) {
	subject := r.PathValue("subject")
	ctx, cancel := context.WithTimeout(r.Context(), ownerQueryTimeout)
	defer cancel()
	out := struct {
		Subject string   `json:"subject"`
		Lines   []string `json:"lines"`
	}{Subject: subject, Lines: []string{}}
	var mu sync.Mutex
	subjectShard := g.subjectShard(subject)
	missing := g.forEachShard(ctx, func(shard string) error {
		if subjectShard != "" && shard != subjectShard {
			return nil
		}
		m, _, err := g.callOwner(ctx, shard, &contract.Explain{Shard: shard, Subject: subject})
		if reply, ok := m.(*contract.ExplainReply); ok && err == nil {
			mu.Lock()
			defer mu.Unlock()
			out.Lines = append(out.Lines, reply.Lines...)
		}
		return err
	})
	setMissing(w, missing)
	writeJSON(w, http.StatusOK, out)
}

// subjectShard returns the shard of a job or worker, or an empty name for any other subject.
func (g *Gateway) subjectShard(subject string) string {
	if strings.Contains(subject, jobSeparator) {
		return shardOf(subject)
	}
	v := g.deps.Config.Current()
	if m, known := g.directory.Load().workers[instance.ID(subject)]; known && v != nil {
		return datacentre.Shard(m.DataCentre, m.Rack, max(v.Manifest.RacksPerShard, 1))
	}
	return ""
}

// handleShards asks all schedulers for the shards that they own. If several claim one shard, the newest epoch is
// returned.
func (g *Gateway) handleShards(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), ownerQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	found, missing := map[string]contract.ShardState{}, []string{}
	for _, s := range g.directory.Load().schedulers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			m, err := g.deps.Link.Call(ctx, s.Addr, &contract.ShardStatus{})
			mu.Lock()
			defer mu.Unlock()
			reply, ok := m.(*contract.ShardStatusReply)
			if err != nil || !ok {
				missing = append(missing, string(s.ID))
				return
			}
			for _, state := range reply.Shards {
				if state.Epoch >= found[state.Shard].Epoch {
					found[state.Shard] = state
				}
			}
		}()
	}
	wg.Wait()
	out := []contract.ShardState{}
	for _, state := range found {
		out = append(out, state)
	}
	slices.SortFunc(out, func(a, b contract.ShardState) int { return cmp.Compare(a.Shard, b.Shard) })
	slices.Sort(missing)
	setMissing(w, missing)
	writeJSON(w, http.StatusOK, out)
}
