// Command clementinectl is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"clementinewalk.example/clementinewalk/internal/operator"
	"clementinewalk.example/clementinewalk/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	code := operator.Main(ctx, os.Args[1:], operator.Streams{Out: os.Stdout, Err: os.Stderr}, initialize)
	stop()
	os.Exit(code)
}

func newConfigChecker() *platform.ConfigChecker {
	return platform.NewConfigChecker(platform.NewTransport())
}
