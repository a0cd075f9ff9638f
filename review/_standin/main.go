// The program plays one case of the review: it serves the platform's store and the workers on loopback addresses, starts
// the nodes of a small deployment, and acts as the callers. It follows the platform's protocol and judges only what
// callers, workers and the store see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

var cases = map[string]struct {
	workers, rare int
	play          func(d *deployment, trouble bool)
}{
	"many-ends":         {8, rareWorkers, manyEnds},
	"many-images":       {8, rareWorkers, manyImages},
	"huge-counts":       {8, rareWorkers, hugeCounts},
	"restarted-workers": {8, rareWorkers, restartedWorkers},
	// Further findings, which have no folder of their own.
	"hopeless-work":    {8, rareWorkers, hopelessWork},
	"long-record":      {8, rareWorkers, longRecord},
	"changed-kind":     {8, 1, changedKind},
	"busy-worker":      {12, 1, busyWorker},
	"crashing-workers": {8, rareWorkers, crashingWorkers},
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(statusCannotRun)
	}
	c, ok := cases[os.Args[1]]
	if !ok {
		cannotRun(fmt.Errorf("unknown case %q", os.Args[1]))
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { cannotRun(fmt.Errorf("ended by signal: %v", <-signals)) }()
	r := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	d := newDeployment(r, c.workers, c.rare)
	c.play(d, trouble)
	d.close()
	n, first := r.summary()
	r.note("rules broken: %d", n)
	r.close()
	fmt.Printf("trouble %v: %d starts, rules broken %d times\n", trouble, r.starts, n)
	if n > 0 {
		fmt.Println("first:", first)
		os.Exit(statusBroken)
	}
	os.Exit(statusHeld)
}
