package soak

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/datacentre"
	"clementinewalk.example/clementinewalk/internal/instance"
)

// recovery is what the death of an owner cost.
type recovery struct {
	tasks, shards  int
	snapshots      int
	claim, placed  time.Duration
	bytes, records int
	real           time.Duration
}

func (r recovery) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.2f | %.2f | %d | %d | %d |", r.tasks, r.shards, r.snapshots, r.claim.Seconds(), r.placed.Seconds(),
		r.records, r.bytes, r.real.Milliseconds())
}

// recoveryLimit is the bound in docs/measurements.md.
const recoveryLimit = 6 * time.Second

// Guards against a successor whose time until it places again grows with the number of live tasks. RECOVERY=1 measures every size.
func TestRecovery(t *testing.T) {
	sizes, pauses := []int{100}, []time.Duration{time.Minute}
	if n, err := strconv.Atoi(os.Getenv("TASKS")); err == nil {
		sizes = []int{n}
	}
	if os.Getenv("RECOVERY") != "" {
		sizes, pauses = []int{100, 500, 1000, 2000, 4000, 14200}, []time.Duration{time.Minute, 12 * time.Minute}
	}
	for _, n := range sizes {
		for _, pause := range pauses {
			if n > 1000 {
				// So many placements exceed the number of records after which a snapshot is due.
				pause = 20 * time.Second
			}
			var r recovery
			synctest.Test(t, func(t *testing.T) { r = recoverShards(t, n, pause) })
			_, _ = fmt.Fprintln(os.Stderr, r)
			require.Less(t, r.placed, recoveryLimit)
			if n > 1000 {
				break
			}
		}
	}
}

// recoverShards lets tasks run for a pause, kills the owner of a shard and waits until every shard that it owned places again.
func recoverShards(t *testing.T, tasks int, pause time.Duration) recovery {
	shards := (tasks + 3999) / 4000
	c := newCluster(t, layout{schedulers: 2, racks: slices.Repeat([]string{"bne"}, shards), slots: 1, cores: int64(tasks/shards/perRack + 64)}, 1)
	c.net.heal()
	time.Sleep(settleBefore)
	for i := range shards {
		c.submitTo(i, "live", tasks/shards)
	}
	time.Sleep(pause)
	owners := map[string][]int{}
	for i := range shards {
		scan := c.scan(i)
		require.GreaterOrEqual(t, scan.places, tasks/shards, "shard %d", i)
		owners[scan.owner] = append(owners[scan.owner], i)
	}
	victim := c.scan(0).owner
	r := recovery{tasks: tasks, shards: len(owners[victim])}
	for _, i := range owners[victim] {
		r.snapshots += c.scan(i).snapshots
	}
	before := c.readBytes()
	began, real := time.Now(), realTime()
	c.proc(victim).crash()
	for _, i := range owners[victim] {
		c.submitTo(i, "probe", 1)
	}
	for waiting := owners[victim]; len(waiting) > 0 && time.Since(began) < time.Minute; time.Sleep(20 * time.Millisecond) {
		waiting = slices.DeleteFunc(slices.Clone(waiting), func(i int) bool {
			scan := c.scan(i)
			if scan.owner != victim {
				r.claim = max(r.claim, scan.claimed.Sub(began))
			}
			return scan.owner != victim && scan.probe
		})
		r.placed = time.Since(began)
	}
	r.real, r.bytes = realTime()-real, c.readBytes()-before
	for _, i := range owners[victim] {
		r.records += c.scan(i).records
	}
	return r
}

// realTime is the time outside the bubble.
func realTime() time.Duration {
	var t syscall.Timeval
	_ = syscall.Gettimeofday(&t)
	return time.Duration(t.Nano())
}

func (c *cluster) readBytes() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.read {
		n += b
	}
	return n
}

func (c *cluster) submitTo(shard int, name string, tasks int) {
	stream := fmt.Sprint("bne-", shard)
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Submit{Job: stream + "~" + name, Kind: "rebid", Team: "office",
		Tasks: tasks, Submitted: time.Now(), Deadline: time.Now().Add(8 * time.Hour), RunTime: 4 * time.Hour})
	require.NoError(c.t, err)
	_, err = c.log.Append(context.Background(), datacentre.ShardStream(stream), [][]byte{data})
	require.NoError(c.t, err)
}

// summary is what a stream holds.
type summary struct {
	owner                      string
	claimed                    time.Time
	places, snapshots, records int
	probe                      bool
}

func (c *cluster) scan(shard int) summary {
	stream := fmt.Sprint("bne-", shard)
	s := &c.scans[shard]
	page, err := c.log.Read(context.Background(), datacentre.ShardStream(stream), uint64(s.records+1), 0, 0)
	require.NoError(c.t, err)
	for _, data := range page.Records {
		_, body, err := contract.DecodeRecord(data)
		require.NoError(c.t, err)
		s.records++
		switch b := body.(type) {
		case *contract.Claim:
			s.owner, s.claimed = string(instance.ID(b.Owner)), time.Now()
		case *contract.Place:
			s.places++
			s.probe = s.probe || b.Job == stream+"~probe"
		case *contract.SnapshotEnd:
			s.snapshots++
		}
	}
	return *s
}
