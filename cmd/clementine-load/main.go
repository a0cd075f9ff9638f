// Command clementine-load generates open-loop load for gateways, runs experiments, and compares the results of runs.
package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"clementinewalk.example/clementinewalk/internal/experiment"
	"clementinewalk.example/clementinewalk/internal/load"
	"clementinewalk.example/clementinewalk/internal/process"
)

// reportTimeout is the time that a run may take beyond sending its load and waiting for answers, to write its report.
const reportTimeout = 2 * time.Minute

// CLI holds the flags and commands.
type CLI struct {
	process.LogSettings
	Run            load.Settings       `cmd:"" help:"Send requests and jobs, check every answer, and report."`
	Compare        compareCommand      `cmd:"" help:"Print the results of several runs side by side."`
	Experiment     experiment.Settings `cmd:"" help:"Compare policies on a running deployment; docs/experiments.md describes the files."`
	Layout         load.Layout         `cmd:"" help:"Print the settings of a deployment of a manifest on the loopback network, for scripts."`
	Sample         load.Sample         `cmd:"" help:"Measure what processes cost during an interval of fixed load."`
	CapacityReport load.CapacityReport `cmd:"" help:"Print the tables of a capacity run: slopes, costs at the target size, limits."`
}

// compareCommand holds the arguments of the command compare.
type compareCommand struct {
	Dirs []string `arg:"" name:"dir" help:"Directories that runs were written to; ratios are to the first one."`
}

// run generates the load. Its time is limited, so that it ends even if answers do not arrive.
func run(ctx context.Context, s *load.Settings, l *slog.Logger) error {
	if err := s.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Timeout+s.BatchSpread+s.BatchWait+reportTimeout)
	defer cancel()
	r, err := initialize(s, l, load.Outputs{Table: os.Stdout, Progress: os.Stderr})
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

// commands returns the function of each command of the command line, by the name of the command.
func commands(cli *CLI, l *slog.Logger) map[string]func(ctx context.Context) error {
	ignoreContext := func(f func() error) func(context.Context) error {
		return func(context.Context) error { return f() }
	}
	return map[string]func(ctx context.Context) error{
		"run":     func(ctx context.Context) error { return run(ctx, &cli.Run, l) },
		"compare": ignoreContext(func() error { return load.Compare(os.Stdout, cli.Compare.Dirs) }),
		"experiment": func(ctx context.Context) error {
			return experiment.NewDriver(&cli.Experiment, process.WithPrefix(l, "experiment"), os.Stdout).Run(ctx)
		},
		"layout":          ignoreContext(func() error { return cli.Layout.Run(os.Stdout) }),
		"sample":          cli.Sample.Run,
		"capacity-report": ignoreContext(func() error { return cli.CapacityReport.Run(os.Stdout) }),
	}
}

func main() {
	cli := &CLI{}
	k := process.Parse(cli, "clementine-load", "Load generator for gateways on the loopback network.")
	l := cli.NewLogger(os.Stderr)
	os.Exit(process.Run(l, commands(cli, l)[k.Selected().Name]))
}
