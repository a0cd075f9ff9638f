package faults

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

const (
	usualLength = 8 * time.Second
	shortLength = 6 * time.Second
	// leaseTTL is that of the manifest in testdata; grants live as long.
	leaseTTL = 3 * time.Second
)

// table returns the scenarios: first single failures, then pairs and repeated ones.
func table() []scenario {
	var out []scenario
	for _, group := range [][]scenario{processFailures(), workerFailures(), linkFailures(), platformFailures(), operations(), combinations()} {
		out = append(out, group...)
	}
	for i := range out {
		if out[i].length == 0 {
			out[i].length = usualLength
		}
	}
	return out
}

func processFailures() []scenario {
	return []scenario{
		{name: "gateway-killed", hit: "a gateway dies and comes back", action: killGateway},
		{name: "scheduler-killed", hit: "an owner of shards dies and comes back", action: killScheduler},
		{name: "scheduler-frozen", hit: "an owner is frozen for longer than every lease", length: 13 * time.Second, action: func(c *cluster) {
			c.freezeFor(3*leaseTTL, schedulerName(0))
		}},
		{name: "gateway-frozen", hit: "a gateway is frozen for longer than its grants", length: 13 * time.Second, action: func(c *cluster) {
			c.freezeFor(3*leaseTTL, gatewayName(1))
		}},
	}
}

func killGateway(c *cluster) {
	c.mark()
	c.kill(gatewayName(0))
	c.pause(time.Second)
	c.startGateway(0)
}

func killScheduler(c *cluster) {
	c.mark()
	c.kill(schedulerName(1))
	c.pause(time.Second)
	c.startScheduler(1)
}

var rack = 1

func workerFailures() []scenario {
	one := worker.Selection{Workers: []instance.ID{"ipswich-w001"}}
	return []scenario{
		{name: "worker-dead", hit: "the busiest worker dies", action: func(c *cluster) {
			w := c.busiest()
			// Its owner learns checkpoints with each fifth renewal, every 2.5 s.
			c.pause(leaseTTL)
			c.workerFaults(w, worker.Faults{Dead: true})
		}},
		{name: "worker-rebooted", hit: "the busiest worker dies and boots again at once", action: func(c *cluster) {
			w := c.busiest()
			c.workerFaults(w, worker.Faults{Dead: true})
			c.workerFaults(w, worker.Faults{})
		}},
		{name: "worker-frozen", hit: "the busiest worker is frozen for 6 s", action: func(c *cluster) {
			w := c.busiest()
			c.workerFaults(w, worker.Faults{Frozen: true})
			c.pause(2 * leaseTTL)
			c.workerFaults(w, worker.Faults{})
		}},
		{name: "rack-dead", hit: "a rack, which is a whole shard, dies", action: func(c *cluster) {
			c.workerFaults(worker.Selection{DataCentre: "brisbane", Rack: &rack}, worker.Faults{Dead: true})
		}},
		{name: "data-centre-dead", hit: "a data centre dies with its gateway and scheduler", action: func(c *cluster) {
			c.workerFaults(worker.Selection{DataCentre: "ipswich"}, worker.Faults{Dead: true})
			c.kill(gatewayName(1), schedulerName(1))
		}},
		{name: "worker-fails-tasks", hit: "a worker fails every task that it starts", action: func(c *cluster) {
			c.workerFaults(one, worker.Faults{FailTasks: true})
		}},
		{name: "worker-wrong-answers", hit: "a worker's answers are crossed, cut or changed", action: func(c *cluster) {
			c.workerFaults(one, worker.Faults{WrongAnswer: 0.3})
		}},
		{name: "worker-leaving", hit: "a worker leaves", action: func(c *cluster) {
			c.workerFaults(c.busiest(), worker.Faults{Leaving: true})
			// Work that comes later than this counts as a violation.
			c.pause(7 * time.Second)
		}},
		{name: "clock-drift", hit: "clocks of workers differ by up to 1%; an owner dies", workers: []string{"--drift", "0.0099"}, action: killScheduler},
	}
}

func linkFailures() []scenario {
	both := []pair{{"brisbane", "ipswich", cut}, {"ipswich", "brisbane", cut}}
	isolated := []pair{}
	for _, other := range []string{"brisbane", "toowoomba", "gladstone", "platform"} {
		isolated = append(isolated, pair{"ipswich", other, cut}, pair{other, "ipswich", cut})
	}
	during := func(d time.Duration, between effect, exceptions ...pair) func(c *cluster) {
		return func(c *cluster) {
			c.links.set(between, exceptions...)
			c.pause(d)
			c.links.set(normal)
		}
	}
	return []scenario{
		{name: "link-cut", hit: "the link between two data centres is cut for 8 s", length: 13 * time.Second, action: during(8*time.Second, normal, both...)},
		{name: "link-cut-one-way", hit: "a link is cut in one direction for 8 s", length: 13 * time.Second, action: during(8*time.Second, normal, both[0])},
		{name: "data-centre-isolated", hit: "a data centre is cut from all others and the log for 10 s", length: 14 * time.Second,
			action: during(10*time.Second, normal, isolated...)},
		{name: "links-lossy", hit: "links lose 5% of the packets and reorder them for 8 s", length: 13 * time.Second, action: during(8*time.Second, lossy)},
	}
}

func platformFailures() []scenario {
	during := func(d time.Duration, f platform.LogFaults) func(c *cluster) {
		return func(c *cluster) {
			c.logFaults(f)
			c.pause(d)
			c.logFaults(platform.LogFaults{})
		}
	}
	lag := int64(15_000)
	return []scenario{
		{name: "log-down", hit: "the log is down for 15 s (6 s in the short form)", length: 18 * time.Second, action: func(c *cluster) {
			d := 15 * time.Second
			if c.short {
				d = 6 * time.Second
			}
			during(d, platform.LogFaults{Down: true})(c)
		}},
		{name: "log-slow", hit: "each call to the log takes 1.5 s for 8 s", length: 13 * time.Second, action: during(8*time.Second, platform.LogFaults{DelayMS: 1500})},
		{name: "log-answers-lost", hit: "half of the log's answers are lost after the effect, a fifth of the calls before", length: 13 * time.Second,
			action: during(8*time.Second, platform.LogFaults{LoseAnswers: 0.5, LoseCalls: 0.2})},
		{name: "list-stale", hit: "the instance list lags 15 s; a gateway and an owner die", length: 13 * time.Second, action: func(c *cluster) {
			c.listFaults(platform.ListFaults{LagMS: &lag})
			c.mark()
			c.kill(gatewayName(2), schedulerName(2))
			c.pause(6 * time.Second)
			c.startGateway(2)
			c.startScheduler(2)
			c.listFaults(platform.ListFaults{})
		}},
		{name: "retention", hit: "retention overtakes a frozen scheduler", platform: []string{"--max-records", "3000"}, length: 12 * time.Second, action: overtake},
	}
}

func operations() []scenario {
	return []scenario{
		{name: "gateway-stopped", hit: "planned stop of a gateway under load", planned: true, action: func(c *cluster) {
			c.stop(gatewayName(0))
			c.startGateway(0)
		}},
		{name: "scheduler-stopped", hit: "planned stop of an owner under load", planned: true, action: func(c *cluster) {
			c.stop(schedulerName(0))
			c.startScheduler(0)
		}},
		{name: "replaced-in-turn", hit: "all entry instances are replaced one after the other, same ids", planned: true, length: 20 * time.Second, action: func(c *cluster) {
			for i := range entries {
				c.stop(gatewayName(i))
				c.startGateway(i)
				c.stop(schedulerName(i))
				c.startScheduler(i)
				c.await("replacement", startLimit, c.whole)
			}
		}},
		{name: "replaced-at-once", hit: "all entry instances are replaced at once, new ids", planned: true, length: 14 * time.Second, action: replaceAll},
		{name: "operators-race", hit: "two operators publish at the same time, three times", action: race},
		{name: "cancellations", hit: "40 jobs are cancelled during eviction and completion", action: cancelMany},
	}
}

func combinations() []scenario {
	return []scenario{
		{name: "scheduler-killed-log-down", hit: "an owner dies while the log is down for 6 s", length: 13 * time.Second, action: func(c *cluster) {
			c.logFaults(platform.LogFaults{Down: true})
			c.kill(schedulerName(0))
			c.pause(2 * leaseTTL)
			c.logFaults(platform.LogFaults{})
			c.mark()
			c.startScheduler(0)
		}},
		{name: "gateway-and-scheduler-killed", hit: "a gateway and an owner of another data centre die", action: func(c *cluster) {
			c.mark()
			c.kill(gatewayName(0), schedulerName(1))
		}},
		{name: "frozen-and-answers-lost", hit: "an owner is frozen while answers of the log are lost", length: 14 * time.Second, action: func(c *cluster) {
			c.logFaults(platform.LogFaults{LoseAnswers: 0.4})
			c.freeze(schedulerName(2))
			c.pause(2 * leaseTTL)
			c.thaw(schedulerName(2))
			c.pause(leaseTTL)
			c.logFaults(platform.LogFaults{})
		}},
		{name: "scheduler-killed-twice", hit: "an owner dies, its successor dies as soon as it has taken over", length: 14 * time.Second, action: func(c *cluster) {
			c.kill(schedulerName(0))
			c.mark()
			c.recovered()
			c.kill(schedulerName(1))
			c.mark()
		}},
		{name: "worker-dead-log-down", hit: "the busiest worker dies while the log is down for 6 s", length: 13 * time.Second, action: func(c *cluster) {
			c.logFaults(platform.LogFaults{Down: true})
			c.workerFaults(c.busiest(), worker.Faults{Dead: true})
			c.pause(2 * leaseTTL)
			c.logFaults(platform.LogFaults{})
		}},
		{name: "gateway-killed-twice", hit: "a gateway dies, comes back and dies again", action: func(c *cluster) {
			for range 2 {
				killGateway(c)
				c.recovered()
			}
		}},
		{name: "frozen-twice", hit: "an owner is frozen, thawed and frozen again", length: 16 * time.Second, action: func(c *cluster) {
			for range 2 {
				c.freezeFor(2*leaseTTL, schedulerName(1))
			}
		}},
	}
}
