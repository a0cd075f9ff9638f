package faults

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/standin/platform"
	"clementinewalk.example/clementinewalk/internal/standin/worker"
)

const (
	// defaultLength is the length of a scenario that sets none, shortLength that of the scenarios of TestProcesses.
	defaultLength = 8 * time.Second
	shortLength   = 6 * time.Second
	// leaseTTL is the duration of leases and grants, lease_ttl in testdata/small.yaml.
	leaseTTL = 3 * time.Second
)

// table returns all scenarios: single failures first, then planned operations, then combined and repeated failures.
func table() []scenario {
	var out []scenario
	for _, group := range [][]scenario{processFailures(), workerFailures(), linkFailures(), platformFailures(),
		operations(), combinations()} {
		out = append(out, group...)
	}
	for i := range out {
		if out[i].length == 0 {
			out[i].length = defaultLength
		}
	}
	return out
}

// processFailures returns the scenarios in which one gateway or scheduler is killed or frozen.
func processFailures() []scenario {
	return []scenario{
		{name: "gateway-killed", description: "a gateway dies and comes back", action: killGateway},
		{name: "scheduler-killed", description: "an owner of shards dies and comes back", action: killScheduler},
		{name: "scheduler-frozen", description: "an owner is frozen for longer than every lease",
			length: 13 * time.Second, action: func(c *cluster) {
				c.freezeFor(3*leaseTTL, schedulerName(0))
			}},
		{name: "gateway-frozen", description: "a gateway is frozen for longer than its grants",
			length: 13 * time.Second, action: func(c *cluster) {
				c.freezeFor(3*leaseTTL, gatewayName(1))
			}},
	}
}

func killGateway(c *cluster) {
	c.startRecoveryTimer()
	c.kill(gatewayName(0))
	c.pause(time.Second)
	c.startGateway(0)
}

func killScheduler(c *cluster) {
	c.startRecoveryTimer()
	c.kill(schedulerName(1))
	c.pause(time.Second)
	c.startScheduler(1)
}

// deadRack is the rack of scenario rack-dead; worker.Selection needs a pointer to it.
var deadRack = 1

// workerFailures returns the scenarios with faults of workers.
func workerFailures() []scenario {
	badWorker := worker.Selection{Workers: []instance.ID{"ipswich-w001"}}
	return []scenario{
		{name: "worker-dead", description: "the busiest worker dies", action: func(c *cluster) {
			w := c.busiestWorker()
			// Its owner learns the checkpoints of its tasks with every fifth lease renewal, that is every 2.5 s.
			c.pause(leaseTTL)
			c.setWorkerFaults(w, worker.Faults{Dead: true})
		}},
		{name: "worker-rebooted", description: "the busiest worker dies and boots again at once",
			action: func(c *cluster) {
				w := c.busiestWorker()
				c.setWorkerFaults(w, worker.Faults{Dead: true})
				c.setWorkerFaults(w, worker.Faults{})
			}},
		{name: "worker-frozen", description: "the busiest worker is frozen for 6 s", action: func(c *cluster) {
			w := c.busiestWorker()
			c.setWorkerFaults(w, worker.Faults{Frozen: true})
			c.pause(2 * leaseTTL)
			c.setWorkerFaults(w, worker.Faults{})
		}},
		{name: "rack-dead", description: "a rack, which is a whole shard, dies", action: func(c *cluster) {
			c.setWorkerFaults(worker.Selection{DataCentre: "brisbane", Rack: &deadRack}, worker.Faults{Dead: true})
		}},
		{name: "data-centre-dead", description: "a data centre dies with its gateway and scheduler",
			action: func(c *cluster) {
				c.setWorkerFaults(worker.Selection{DataCentre: "ipswich"}, worker.Faults{Dead: true})
				c.kill(gatewayName(1), schedulerName(1))
			}},
		{name: "worker-fails-tasks", description: "a worker fails every task that it starts",
			action: func(c *cluster) {
				c.setWorkerFaults(badWorker, worker.Faults{FailTasks: true})
			}},
		{name: "worker-wrong-answers", description: "a worker's answers are crossed, cut or changed",
			action: func(c *cluster) {
				c.setWorkerFaults(badWorker, worker.Faults{WrongAnswer: 0.3})
			}},
		{name: "worker-leaving", description: "a worker leaves", action: func(c *cluster) {
			c.setWorkerFaults(c.busiestWorker(), worker.Faults{Leaving: true})
			// The stand-in counts new work as late 5 s after a worker begins to leave, so the load must last longer
			// than that.
			c.pause(7 * time.Second)
		}},
		{name: "clock-drift", description: "clocks of workers differ by up to 1%; an owner dies",
			workerArgs: []string{"--drift", "0.0099"}, action: killScheduler},
	}
}

// linkFailures returns the scenarios with cut or lossy links between data centres.
func linkFailures() []scenario {
	both := []linkPair{{"brisbane", "ipswich", cutLink}, {"ipswich", "brisbane", cutLink}}
	isolated := []linkPair{}
	for _, other := range []string{"brisbane", "toowoomba", "gladstone", "platform"} {
		isolated = append(isolated, linkPair{"ipswich", other, cutLink}, linkPair{other, "ipswich", cutLink})
	}
	during := func(d time.Duration, between linkConditions, exceptions ...linkPair) func(c *cluster) {
		return func(c *cluster) {
			c.links.set(between, exceptions...)
			c.pause(d)
			c.links.set(normalLink)
		}
	}
	return []scenario{
		{name: "link-cut", description: "the link between two data centres is cut for 8 s", length: 13 * time.Second,
			action: during(8*time.Second, normalLink, both...)},
		{name: "link-cut-one-way", description: "a link is cut in one direction for 8 s", length: 13 * time.Second,
			action: during(8*time.Second, normalLink, both[0])},
		{name: "data-centre-isolated", description: "a data centre is cut from all others and the log for 10 s",
			length: 14 * time.Second, action: during(10*time.Second, normalLink, isolated...)},
		{name: "links-lossy", description: "links lose 5% of the packets and reorder them for 8 s",
			length: 13 * time.Second, action: during(8*time.Second, lossyLink)},
	}
}

// platformFailures returns the scenarios with faults of the log or the instance list.
func platformFailures() []scenario {
	during := func(d time.Duration, f platform.LogFaults) func(c *cluster) {
		return func(c *cluster) {
			c.setLogFaults(f)
			c.pause(d)
			c.setLogFaults(platform.LogFaults{})
		}
	}
	lag := int64(15_000)
	return []scenario{
		{name: "log-down", description: "the log is down for 15 s (6 s in the short form)", length: 18 * time.Second,
			action: func(c *cluster) {
				d := 15 * time.Second
				if c.short {
					d = 6 * time.Second
				}
				during(d, platform.LogFaults{Down: true})(c)
			}},
		{name: "log-slow", description: "each call to the log takes 1.5 s for 8 s", length: 13 * time.Second,
			action: during(8*time.Second, platform.LogFaults{DelayMS: 1500})},
		{name: "log-answers-lost",
			description: "half of the log's answers are lost after the effect, a fifth of the calls before",
			length:      13 * time.Second,
			action: during(8*time.Second,
				platform.LogFaults{LostAnswerProbability: 0.5, LostCallProbability: 0.2})},
		{name: "list-stale", description: "the instance list lags 15 s; a gateway and an owner die",
			length: 13 * time.Second, action: func(c *cluster) {
				c.setListFaults(platform.ListFaults{LagMS: &lag})
				c.startRecoveryTimer()
				c.kill(gatewayName(2), schedulerName(2))
				c.pause(6 * time.Second)
				c.startGateway(2)
				c.startScheduler(2)
				c.setListFaults(platform.ListFaults{})
			}},
		{name: "retention", description: "retention overtakes a frozen scheduler",
			platformArgs: []string{"--max-records", "3000"}, length: 12 * time.Second, action: freezePastRetention},
	}
}

// operations returns the scenarios in which operators stop and replace instances, publish or cancel.
func operations() []scenario {
	return []scenario{
		{name: "gateway-stopped", description: "planned stop of a gateway under load", planned: true,
			action: func(c *cluster) {
				c.stop(gatewayName(0))
				c.startGateway(0)
			}},
		{name: "scheduler-stopped", description: "planned stop of an owner under load", planned: true,
			action: func(c *cluster) {
				c.stop(schedulerName(0))
				c.startScheduler(0)
			}},
		{name: "replaced-in-turn", description: "all entry instances are replaced one after the other, same ids",
			planned: true, length: 20 * time.Second, action: func(c *cluster) {
				for i := range instancesPerRole {
					c.stop(gatewayName(i))
					c.startGateway(i)
					c.stop(schedulerName(i))
					c.startScheduler(i)
					c.await("replacement", startLimit, c.healthy)
				}
			}},
		{name: "replaced-at-once", description: "all entry instances are replaced at once, new ids",
			planned: true, length: 14 * time.Second, action: replaceAll},
		{name: "operators-race", description: "two operators publish at the same time, three times",
			action: publishConcurrently},
		{name: "cancellations", description: "40 jobs are cancelled during eviction and completion",
			action: cancelJobs},
	}
}

// combinations returns the scenarios with several failures.
func combinations() []scenario {
	return []scenario{
		{name: "scheduler-killed-log-down", description: "an owner dies while the log is down for 6 s",
			length: 13 * time.Second, action: func(c *cluster) {
				c.setLogFaults(platform.LogFaults{Down: true})
				c.kill(schedulerName(0))
				c.pause(2 * leaseTTL)
				c.setLogFaults(platform.LogFaults{})
				c.startRecoveryTimer()
				c.startScheduler(0)
			}},
		{name: "gateway-and-scheduler-killed", description: "a gateway and an owner of another data centre die",
			action: func(c *cluster) {
				c.startRecoveryTimer()
				c.kill(gatewayName(0), schedulerName(1))
			}},
		{name: "frozen-and-answers-lost", description: "an owner is frozen while answers of the log are lost",
			length: 14 * time.Second, action: func(c *cluster) {
				c.setLogFaults(platform.LogFaults{LostAnswerProbability: 0.4})
				c.freeze(schedulerName(2))
				c.pause(2 * leaseTTL)
				c.unfreeze(schedulerName(2))
				c.pause(leaseTTL)
				c.setLogFaults(platform.LogFaults{})
			}},
		{name: "scheduler-killed-twice", description: "an owner dies, its successor dies as soon as it has taken over",
			length: 14 * time.Second, action: func(c *cluster) {
				c.kill(schedulerName(0))
				c.startRecoveryTimer()
				c.awaitRecovery()
				c.kill(schedulerName(1))
				c.startRecoveryTimer()
			}},
		{name: "worker-dead-log-down", description: "the busiest worker dies while the log is down for 6 s",
			length: 13 * time.Second, action: func(c *cluster) {
				c.setLogFaults(platform.LogFaults{Down: true})
				c.setWorkerFaults(c.busiestWorker(), worker.Faults{Dead: true})
				c.pause(2 * leaseTTL)
				c.setLogFaults(platform.LogFaults{})
			}},
		{name: "gateway-killed-twice", description: "a gateway dies, comes back and dies again",
			action: func(c *cluster) {
				for range 2 {
					killGateway(c)
					c.awaitRecovery()
				}
			}},
		{name: "frozen-twice", description: "an owner is frozen, thawed and frozen again", length: 16 * time.Second,
			action: func(c *cluster) {
				for range 2 {
					c.freezeFor(2*leaseTTL, schedulerName(1))
				}
			}},
	}
}
