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

// pause is how long a failure lasts. It is part of a scenario and waits for nothing.
func (c *cluster) pause(d time.Duration) { time.Sleep(d) }

// freezeFor freezes a process for a time, within which the others must recover, and thaws it.
func (c *cluster) freezeFor(d time.Duration, name string) {
	thaw := time.After(d)
	c.mark()
	c.freeze(name)
	c.recovered()
	<-thaw
	c.mark()
	c.thaw(name)
	c.recovered()
}

// busiest selects the worker with the most running tasks.
func (c *cluster) busiest() worker.Selection {
	var best worker.WorkerState
	c.await("a running task", startLimit, func() bool {
		var all []worker.WorkerState
		c.must(http.MethodGet, c.workers+"/admin/workers", nil, &all)
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
	for i := entries; i < 2*entries; i++ {
		c.startScheduler(i)
		c.startGateway(i)
	}
	c.await("new gateways", startLimit, c.whole)
	var old []string
	for i := range entries {
		old = append(old, gatewayName(i), schedulerName(i))
	}
	c.mark()
	c.stop(old...)
}

// race lets two operators replace the same version at the same time. Exactly one of them may win, and everyone must follow it.
func race(c *cluster) {
	data, err := os.ReadFile(manifestFile)
	require.NoError(c.t, err)
	for round := range 3 {
		version := c.newest()
		codes := make([]int, 2)
		var wg sync.WaitGroup
		for i := range codes {
			path := filepath.Join(c.dir, fmt.Sprintf("operator-%d-%d.yaml", round, i))
			text := strings.Replace(string(data), "daily_spending: 9000.00", fmt.Sprintf("daily_spending: 9%d%d0.00", round, i), 1)
			require.NoError(c.t, os.WriteFile(path, []byte(text), 0o644))
			wg.Go(func() {
				_, codes[i] = c.ctlCode("publish", path, "--replaces", fmt.Sprint(version), "--operator", fmt.Sprintf("operator-%d", i))
			})
		}
		wg.Wait()
		if codes[0]+codes[1] != 3 || codes[0]*codes[1] != 0 {
			c.violate("two operators published at the same time; their exit codes are %v, want one 0 and one 3", codes)
		}
		began := time.Now()
		c.await("one version in force", 8*time.Second, func() bool { return c.newest() > version })
		c.t.Logf("version %d is in force everywhere after %s", c.newest(), time.Since(began))
	}
}

// newest returns the version that all live processes have in force, 0 if they differ.
func (c *cluster) newest() uint64 {
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

// submit submits a job and returns its id.
func (c *cluster) submit(kind, key string, tasks int) string {
	var out struct {
		Job string `json:"job"`
	}
	c.await("submission", startLimit, func() bool {
		return c.call(http.MethodPost, c.live("gateway")[0].url+"/v1/jobs", map[string]any{"kind": kind, "tasks": tasks, "key": key}, &out) == nil
	})
	return out.Job
}

// job returns the state of a job.
func (c *cluster) job(id string) (contract.JobState, bool) {
	var out contract.JobState
	err := c.get(c.live("gateway")[0].url+"/v1/jobs/"+id, &out)
	return out, err == nil
}

// cancelMany cancels jobs in different stages of their life while a worker is drained.
func cancelMany(c *cluster) {
	const jobs, tasks = 40, 5
	var ids []string
	for i := range jobs {
		ids = append(ids, c.submit([]string{"tool-rebid", "part-refresh"}[i%2], fmt.Sprintf("cancel-%d", i), tasks))
	}
	c.ctl(0, "drain", string(c.busiest().Workers[0]))
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
	c.mark()
	cancelled := 0
	for _, id := range ids {
		var st contract.JobState
		c.await("end of job "+id, recoveryLimit, func() bool {
			var ok bool
			st, ok = c.job(id)
			return ok && st.Pending+st.Running == 0 && st.Done+st.Failed+st.Cancelled >= tasks
		})
		if st.Done+st.Cancelled != tasks {
			c.violate("cancelled job %s has %d done and %d cancelled of %d tasks, %d failed", id, st.Done, st.Cancelled, tasks, st.Failed)
		}
		cancelled += st.Cancelled
	}
	if cancelled == 0 {
		c.violate("no task of %d cancelled jobs was cancelled", jobs)
	}
	c.await("end of cancelled tasks", recoveryLimit, func() bool {
		var out worker.ExecutedReply
		return c.call(http.MethodPost, c.workers+"/admin/executed", worker.ExecutedRequest{Jobs: ids}, &out) == nil
	})
}

// overtake freezes a scheduler until the log has dropped records that it has not read.
func overtake(c *cluster) {
	const (
		tasks = 1000
		// records is more than the log keeps of a stream.
		records = 3500
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
	before := c.appended(owned.Shard)
	for i := 0; c.appended(owned.Shard) < before+records && i < 10; i++ {
		ids = append(ids, c.submitTo(owned.Shard, "mini", fmt.Sprintf("many-%d", i), tasks))
		c.await("progress of the stream", 60*time.Second, func() bool {
			st, ok := c.job(ids[len(ids)-1])
			return c.appended(owned.Shard) >= before+records || ok && st.Done == tasks
		})
	}
	c.mark()
	c.thaw(schedulerName(0))
	for _, id := range ids {
		c.must(http.MethodDelete, c.live("gateway")[0].url+"/v1/jobs/"+id, nil, nil)
	}
}

// submitTo submits a job to a shard.
func (c *cluster) submitTo(shard, kind, name string, tasks int) string {
	var out struct {
		Job string `json:"job"`
	}
	c.must(http.MethodPost, c.live("gateway")[0].url+"/v1/jobs", map[string]any{"kind": kind, "tasks": tasks, "id": shard + "~" + name}, &out)
	return out.Job
}

// appended returns the number of records that a shard's stream has had.
func (c *cluster) appended(shard string) uint64 {
	var st platform.Stats
	c.must(http.MethodGet, c.platform+"/admin/stats", nil, &st)
	return st.Log.Streams["shard/"+shard].End
}
