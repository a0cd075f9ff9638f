package scheduler

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/contract"
	"clementinewalk.example/clementinewalk/internal/link"
	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/resource"
)

func (cl *testCluster) submitFor(team, kind, job string, tasks int) {
	cl.append(contract.NewRecordID(), &contract.Submit{Job: testShard + "~" + job, Kind: kind, Team: team, Tasks: tasks,
		Submitted: time.Now(), Deadline: time.Now().Add(time.Hour)})
}

// Guards against a team that exceeds its quota share, queued attempts included, and against tasks of other teams that
// wait behind a backlog larger than the candidates of a round.
func TestQuota(t *testing.T) {
	inSynctest(t, func(t *testing.T) {
		cl := newTestCluster(t, 4)
		m := cl.version.Manifest
		m.Teams = []manifest.Team{{Name: "office", Quota: resource.Vector{MilliCores: 6500, MemoryMB: 1000}},
			{Name: "yard", Quota: resource.Vector{MilliCores: 20000, MemoryMB: 1000}}}
		m.Kinds = append(m.Kinds, manifest.Kind{Name: "circuit", Team: "yard", Class: manifest.ClassBatch,
			Size: resource.Vector{MilliCores: 1000}, RunTime: 20 * time.Second})
		s, stop := cl.startScheduler("s1")
		time.Sleep(5 * time.Second)
		for i := range 60 {
			cl.submitFor("office", "rebid", fmt.Sprint("a", i), 250)
		}
		time.Sleep(5 * time.Second)
		require.Equal(t, 7, cl.fleet.running(), "two replicas of half a core and five tasks of the share of 6.5 cores")
		cl.submitFor("yard", "circuit", "b", 30)
		time.Sleep(3 * time.Second)
		require.Equal(t, 20, cl.job(s, "b").Running)
		r, err := s.Handle(t.Context(), link.Peer{}, &contract.Explain{Shard: testShard, Subject: testShard + "~b"})
		require.NoError(t, err)
		require.Contains(t, strings.Join(r.(*contract.ExplainReply).Lines, "\n"),
			"waits: tasks of kind circuit are not placed: quota, team yard holds 20000 millicores")
		time.Sleep(50 * time.Second)
		require.Equal(t, 30, cl.job(s, "b").Done)
		require.Equal(t, 7, cl.fleet.running())
		require.NoError(t, stop())
	})
}

// Guards against example manifests in which a team's batch tasks do not fit its quota share in some shard, and against
// shares whose sum exceeds the quota.
func TestSharesOfExamples(t *testing.T) {
	for _, name := range []string{"quotes", "feed"} {
		data, err := os.ReadFile("../../examples/" + name + ".yaml")
		require.NoError(t, err)
		m, err := manifest.Parse(name, data)
		require.NoError(t, err)
		shares := computeQuotaShares(m)
		for _, team := range m.Teams {
			var sum resource.Vector
			for _, share := range shares {
				sum = sum.Add(share[team.Name])
			}
			require.True(t, sum.Fits(team.Quota))
		}
		for shard, ofTeam := range shares {
			for _, k := range m.Kinds {
				require.True(t, k.Class != manifest.ClassBatch || k.Size.Fits(ofTeam[k.Team]), "%s %s", shard, k.Name)
			}
		}
	}
}
