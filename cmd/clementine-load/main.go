// Command clementine-load sends an open-loop load to gateways and compares the results of runs.
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

const reportTime = 2 * time.Minute

// CLI holds the flags and commands.
type CLI struct {
	process.LogSettings
	Run            load.Settings       `cmd:"" help:"Send requests and jobs, check every answer, and report."`
	Compare        compare             `cmd:"" help:"Print the results of several runs side by side."`
	Experiment     experiment.Settings `cmd:"" help:"Compare policies on a running deployment; docs/experiments.md describes the files."`
	Layout         load.Layout         `cmd:"" help:"Print the settings of a deployment of a manifest on the loopback network, for scripts."`
	Sample         load.Sample         `cmd:"" help:"Measure what processes cost during an interval of fixed load."`
	CapacityReport load.CapacityReport `cmd:"" help:"Print the tables of a capacity run: slopes, costs at the target size, limits."`
}

type compare struct {
	Dirs []string `arg:"" name:"dir" help:"Directories that runs were written to; ratios are to the first one."`
}

func run(ctx context.Context, s *load.Settings, l *slog.Logger) error {
	if err := s.Check(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, s.Duration+s.Timeout+s.BatchSpread+s.BatchWait+reportTime)
	defer cancel()
	r, err := initialize(s, l, load.Outputs{Table: os.Stdout, Progress: os.Stderr})
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func main() {
	cli := &CLI{}
	k := process.Parse(cli, "clementine-load", "Load generator for gateways on the loopback network.")
	l := cli.NewLogger(os.Stderr)
	switch k.Command() {
	case "compare <dir>":
		exit(l, load.Compare(os.Stdout, cli.Compare.Dirs))
	case "layout":
		exit(l, cli.Layout.Run(os.Stdout))
	case "experiment <file>":
		os.Exit(process.Run(l, experiment.NewDriver(&cli.Experiment, process.Part(l, "experiment"), os.Stdout).Run))
	case "sample":
		os.Exit(process.Run(l, cli.Sample.Run))
	case "capacity-report":
		exit(l, cli.CapacityReport.Run(os.Stdout))
	default:
		os.Exit(process.Run(l, func(ctx context.Context) error { return run(ctx, &cli.Run, l) }))
	}
}

func exit(l *slog.Logger, err error) {
	if err != nil {
		l.Error("load: the command failed", "error", err)
		os.Exit(1)
	}
}
