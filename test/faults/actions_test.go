package faults

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

// pause sleeps while a failure lasts. Its duration is part of the scenario, so it waits for no condition.
func (c *cluster) pause(d time.Duration) { time.Sleep(d) }

// freezeFor freezes a process for the duration d and unfreezes it. The others must recover while it is frozen, and all
// of them after it is unfrozen.
func (c *cluster) freezeFor(d time.Duration, name string) {
	unfreezeAt := time.After(d)
	c.startRecoveryTimer()
	c.freeze(name)
	c.awaitRecovery()
	<-unfreezeAt
	c.startRecoveryTimer()
	c.unfreeze(name)
	c.awaitRecovery()
}

// busiestWorker selects the worker with the most running tasks. It waits until there is one.
func (c *cluster) busiestWorker() worker.Selection {
	var best worker.WorkerState
	c.await("a running task", startLimit, func() bool {
		var all []worker.WorkerState
		c.mustCall(http.MethodGet, c.workersURL+"/admin/workers", nil, &all)
		for _, w := range all {
			if w.Tasks > best.Tasks {
				best = w
			}
		}
		return best.Tasks > 0
	})
	return worker.Selection{Workers: []instance.ID{best.ID}}
}

// replaceAll starts new gateways and schedulers and then stops all old ones at once.
func replaceAll(c *cluster) {
	for i := instancesPerRole; i < 2*instancesPerRole; i++ {
		c.startScheduler(i)
		c.startGateway(i)
	}
	c.await("new gateways", startLimit, c.healthy)
	var old []string
	for i := range instancesPerRole {
		old = append(old, gatewayName(i), schedulerName(i))
	}
	c.startRecoveryTimer()
	c.stop(old...)
}

// publishConcurrently lets two operators replace the same version at the same time, three times. Exactly one
// publication may be accepted, and all gateways and schedulers must apply it.
func publishConcurrently(c *cluster) {
	data, err := os.ReadFile(manifestFile)
	require.NoError(c.t, err)
	for round := range 3 {
		version := c.versionInForce()
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			path := filepath.Join(c.dir, fmt.Sprintf("operator-%d-%d.yaml", round, i))
			text := strings.Replace(string(data), "daily_spending: 9000.00",
				fmt.Sprintf("daily_spending: 9%d%d0.00", round, i), 1)
			require.NoError(c.t, os.WriteFile(path, []byte(text), 0o644))
			wg.Go(func() {
				_, codes[i] = c.runCtl("publish", path, "--replaces", fmt.Sprint(version),
					"--operator", fmt.Sprintf("operator-%d", i))
			})
		}
		wg.Wait()
		if codes[0]+codes[1] != 3 || codes[0]*codes[1] != 0 {
			c.violationf("two operators published at the same time; their exit codes are %v, want one 0 and one 3",
				codes)
		}
		began := time.Now()
		c.await("one version in force", 8*time.Second, func() bool { return c.versionInForce() > version })
		c.t.Logf("version %d is in force everywhere after %s", c.versionInForce(), time.Since(began))
	}
}

// versionInForce returns the offset of the configuration version that all live gateways and schedulers have in force, 0
// if they differ or one of them does not answer.
func (c *cluster) versionInForce() uint64 {
	var version uint64
	for i, p := range append(c.live("gateway"), c.live("scheduler")...) {
		var st struct {
			ConfigOffset uint64 `json:"config_offset"`
		}
		if c.get(p.url+"/v1/status", &st) != nil || i > 0 && st.ConfigOffset != version {
			return 0
		}
		version = st.ConfigOffset
	}
	return version
}

// submit submits a job under an idempotency key to any gateway, retries until it is accepted and returns the job's id.
func (c *cluster) submit(kind, key string, tasks int) string {
	var out struct {
		Job string `json:"job"`
	}
	c.await("submission", startLimit, func() bool {
		return c.call(http.MethodPost, c.live("gateway")[0].url+"/v1/jobs",
			map[string]any{"kind": kind, "tasks": tasks, "key": key}, &out) == nil
	})
	return out.Job
}

// jobState returns the state of a job. The result is false if the gateway gave no answer.
func (c *cluster) jobState(id string) (contract.JobState, bool) {
	var out contract.JobState
	err := c.get(c.live("gateway")[0].url+"/v1/jobs/"+id, &out)
	return out, err == nil
}

// cancelJobs cancels pending, running and done jobs while a worker is drained. Every task must end as done or
// cancelled.
func cancelJobs(c *cluster) {
	const jobs, tasks = 40, 5
	var ids []string
	for i := range jobs {
		ids = append(ids, c.submit([]string{"tool-rebid", "part-refresh"}[i%2], fmt.Sprintf("cancel-%d", i), tasks))
	}
	c.ctl(0, "drain", string(c.busiestWorker().Workers[0]))
	var wg sync.WaitGroup
	for i, id := range ids {
		wg.Go(func() {
			gateways := c.live("gateway")
			c.await("cancellation", startLimit, func() bool {
				return c.call(http.MethodDelete, gateways[i%len(gateways)].url+"/v1/jobs/"+id, nil, nil) == nil
			})
		})
	}
	wg.Wait()
	c.startRecoveryTimer()
	cancelled := 0
	for _, id := range ids {
		var st contract.JobState
		c.await("end of job "+id, recoveryLimit, func() bool {
			var ok bool
			st, ok = c.jobState(id)
			return ok && st.Pending+st.Running == 0 && st.Done+st.Failed+st.Cancelled >= tasks
		})
		if st.Done+st.Cancelled != tasks {
			c.violationf("cancelled job %s has %d done and %d cancelled of %d tasks, %d failed",
				id, st.Done, st.Cancelled, tasks, st.Failed)
		}
		cancelled += st.Cancelled
	}
	if cancelled == 0 {
		c.violationf("no task of %d cancelled jobs was cancelled", jobs)
	}
	c.await("end of cancelled tasks", recoveryLimit, func() bool {
		var out worker.ExecutedReply
		return c.call(http.MethodPost, c.workersURL+"/admin/executed", worker.ExecutedRequest{Jobs: ids}, &out) == nil
	})
}

// freezePastRetention freezes a scheduler until the log has deleted records that it has not read, and unfreezes it.
func freezePastRetention(c *cluster) {
	const (
		tasks = 1000
		// targetRecords exceeds the 3000 records of a stream that the log retains in this scenario.
		targetRecords = 3500
	)
	var owned contract.ShardState
	c.await("an owner", startLimit, func() bool {
		var states []contract.ShardState
		if c.get(c.live("gateway")[0].url+"/v1/shards", &states) != nil {
			return false
		}
		for _, s := range states {
			if s.Owner != instance.ID(schedulerName(0)) {
				owned = s
				return true
			}
		}
		return false
	})
	c.freeze(schedulerName(0))
	var ids []string
	before := c.appendedRecords(owned.Shard)
	for i := 0; c.appendedRecords(owned.Shard) < before+targetRecords && i < 10; i++ {
		ids = append(ids, c.submitToShard(owned.Shard, "mini", fmt.Sprintf("many-%d", i), tasks))
		c.await("progress of the stream", 60*time.Second, func() bool {
			st, ok := c.jobState(ids[len(ids)-1])
			return c.appendedRecords(owned.Shard) >= before+targetRecords || ok && st.Done == tasks
		})
	}
	c.startRecoveryTimer()
	c.unfreeze(schedulerName(0))
	for _, id := range ids {
		c.mustCall(http.MethodDelete, c.live("gateway")[0].url+"/v1/jobs/"+id, nil, nil)
	}
}

// submitToShard submits a job with an id that assigns it to a shard, and returns the id.
func (c *cluster) submitToShard(shard, kind, name string, tasks int) string {
	var out struct {
		Job string `json:"job"`
	}
	c.mustCall(http.MethodPost, c.live("gateway")[0].url+"/v1/jobs",
		map[string]any{"kind": kind, "tasks": tasks, "id": shard + "~" + name}, &out)
	return out.Job
}

// appendedRecords returns the number of records ever appended to a shard's stream, including deleted ones.
func (c *cluster) appendedRecords(shard string) uint64 {
	var st platform.Stats
	c.mustCall(http.MethodGet, c.platformURL+"/admin/stats", nil, &st)
	return st.Log.Streams["shard/"+shard].End
}
