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

// recovery is the cost of the takeover after the owner of shards has crashed.
type recovery struct {
	// tasks is the number of live tasks of all shards; shards is the number of shards that the crashed scheduler owned.
	tasks, shards int
	snapshots     int
	// claimDelay is the time from the crash until the last of these shards is claimed, placementDelay until each has
	// placed a new task.
	claimDelay, placementDelay time.Duration
	// bytes is what all processes read from the log meanwhile; records is the number of records in the streams of these
	// shards.
	bytes, records int
	// real is the time outside the bubble, on the machine.
	real time.Duration
}

func (r recovery) String() string {
	return fmt.Sprintf("| %d | %d | %d | %.2f | %.2f | %d | %d | %d |", r.tasks, r.shards, r.snapshots,
		r.claimDelay.Seconds(), r.placementDelay.Seconds(), r.records, r.bytes, r.real.Milliseconds())
}

// recoveryLimit bounds the time from the crash until every shard of the crashed owner has placed a new task. It is the
// bound in docs/measurements.md.
const recoveryLimit = 6 * time.Second

// Guards against a recovery time that grows with the number of live tasks: a new owner must replay the stream of a
// shard before it places tasks again. RECOVERY=1 measures all sizes, TASKS=n one size.
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
				// The placements alone exceed the number of records after which a snapshot is due, so a short pause is
				// enough.
				pause = 20 * time.Second
			}
			var r recovery
			synctest.Test(t, func(t *testing.T) { r = measureRecovery(t, n, pause) })
			_, _ = fmt.Fprintln(os.Stderr, r)
			require.Less(t, r.placementDelay, recoveryLimit)
			if n > 1000 {
				break
			}
		}
	}
}

// measureRecovery lets tasks run for the pause, crashes the owner of shard 0 and waits until every shard that it owned
// has placed a new task.
func measureRecovery(t *testing.T, tasks int, pause time.Duration) recovery {
	shards := (tasks + 3999) / 4000
	c := newCluster(t, layout{schedulers: 2, racks: slices.Repeat([]string{"bne"}, shards), slots: 1,
		cores: int64(tasks/shards/workersPerRack + 64)}, 1)
	c.net.heal()
	time.Sleep(settleTime)
	for i := range shards {
		c.appendJob(i, "live", tasks/shards)
	}
	time.Sleep(pause)
	owners := map[string][]int{}
	for i := range shards {
		scan := c.scan(i)
		require.GreaterOrEqual(t, scan.placements, tasks/shards, "shard %d", i)
		owners[scan.owner] = append(owners[scan.owner], i)
	}
	victim := c.scan(0).owner
	r := recovery{tasks: tasks, shards: len(owners[victim])}
	for _, i := range owners[victim] {
		r.snapshots += c.scan(i).snapshots
	}
	before := c.totalBytesRead()
	began, real := time.Now(), realTime()
	c.proc(victim).crash()
	for _, i := range owners[victim] {
		c.appendJob(i, "probe", 1)
	}
	for rest := owners[victim]; len(rest) > 0 && time.Since(began) < time.Minute; time.Sleep(20 * time.Millisecond) {
		rest = slices.DeleteFunc(slices.Clone(rest), func(i int) bool {
			scan := c.scan(i)
			if scan.owner != victim {
				r.claimDelay = max(r.claimDelay, scan.claimedAt.Sub(began))
			}
			return scan.owner != victim && scan.probePlaced
		})
		r.placementDelay = time.Since(began)
	}
	r.real, r.bytes = realTime()-real, c.totalBytesRead()-before
	for _, i := range owners[victim] {
		r.records += c.scan(i).records
	}
	return r
}

// realTime returns the time of the system clock, which the virtual time of a bubble does not affect.
func realTime() time.Duration {
	var t syscall.Timeval
	_ = syscall.Gettimeofday(&t)
	return time.Duration(t.Nano())
}

// totalBytesRead returns the number of bytes that all processes have read from the log.
func (c *cluster) totalBytesRead() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, b := range c.bytesRead {
		n += b
	}
	return n
}

// appendJob appends a job to the stream of a shard, without a gateway.
func (c *cluster) appendJob(shard int, name string, tasks int) {
	stream := fmt.Sprint("bne-", shard)
	data, err := contract.EncodeRecord(contract.NewRecordID(), 0, &contract.Submit{Job: stream + "~" + name,
		Kind: "rebid", Team: "office", Tasks: tasks, Submitted: time.Now(), Deadline: time.Now().Add(8 * time.Hour),
		RunTime: 4 * time.Hour})
	require.NoError(c.t, err)
	_, err = c.log.Append(context.Background(), datacentre.ShardStream(stream), [][]byte{data})
	require.NoError(c.t, err)
}

// streamSummary holds the latest claim of a shard's stream and the numbers of its records. probePlaced reports whether
// a task of the job probe was placed.
type streamSummary struct {
	owner                          string
	claimedAt                      time.Time
	placements, snapshots, records int
	probePlaced                    bool
}

// scan reads the new records of a shard's stream and returns the summary of the whole stream.
func (c *cluster) scan(shard int) streamSummary {
	stream := fmt.Sprint("bne-", shard)
	s := &c.summaries[shard]
	page, err := c.log.Read(context.Background(), datacentre.ShardStream(stream), uint64(s.records+1), 0, 0)
	require.NoError(c.t, err)
	for _, data := range page.Records {
		_, body, err := contract.DecodeRecord(data)
		require.NoError(c.t, err)
		s.records++
		switch b := body.(type) {
		case *contract.Claim:
			s.owner, s.claimedAt = string(instance.ID(b.Owner)), time.Now()
		case *contract.Place:
			s.placements++
			s.probePlaced = s.probePlaced || b.Job == stream+"~probe"
		case *contract.SnapshotEnd:
			s.snapshots++
		}
	}
	return *s
}
