// Package operator implements the command-line client for operators. It publishes manifests, submits and cancels jobs,
// and shows the state of the system and its costs.
package operator

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/alecthomas/kong"

	"clementinewalk.example/clementinewalk/internal/platform"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Name is the name of the program.
const Name = "clementinectl"

const description = `Operators' client of clementinewalk.

Exit codes: 0 success, 1 failure, 2 wrong usage, 3 conflict with another operator, 4 timeout, 5 not found.`

// Settings are the flags of all commands.
type Settings struct {
	Platform string        `env:"CLEMENTINE_PLATFORM" default:"http://127.0.0.1:7000" placeholder:"http://IP:PORT" help:"Address of the platform's log service and instance list."`
	Gateways []string      `name:"gateway" env:"CLEMENTINE_GATEWAYS" placeholder:"http://IP:PORT" help:"Address of a gateway; repeatable. Default: the gateways of the instance list."`
	Output   string        `short:"o" env:"CLEMENTINE_OUTPUT" enum:"table,json" default:"table" help:"Format of the output: table or json."`
	Timeout  time.Duration `env:"CLEMENTINE_TIMEOUT" default:"30s" help:"Time after which a command gives up."`
}

// CLI holds the flags and commands.
type CLI struct {
	Settings
	Version kong.VersionFlag `help:"Print the version and exit."`

	Check      CheckCommand      `cmd:"" help:"Check a manifest and list every fault with its line."`
	Config     ConfigCommand     `cmd:"" help:"Check the configuration of queues and pools."`
	Diff       DiffCommand       `cmd:"" help:"Show what a manifest changes in the version in force."`
	Publish    PublishCommand    `cmd:"" help:"Put a manifest in force."`
	History    HistoryCommand    `cmd:"" help:"List the publications that the log keeps, with their outcomes."`
	Submit     SubmitCommand     `cmd:"" help:"Submit a job of a batch kind."`
	Cancel     CancelCommand     `cmd:"" help:"Cancel a job."`
	Jobs       JobsCommand       `cmd:"" help:"Show all jobs or one."`
	Workers    WorkersCommand    `cmd:"" help:"List the workers."`
	Shards     ShardsCommand     `cmd:"" help:"List the shards and their owners."`
	Instances  InstancesCommand  `cmd:"" help:"List gateways and schedulers with the manifest they have in force."`
	Explain    ExplainCommand    `cmd:"" help:"Explain the decisions about a job or worker."`
	Drain      DrainCommand      `cmd:"" help:"Move work off a worker."`
	Report     ReportCommand     `cmd:"" help:"Report costs and deadlines."`
	Keys       KeysCommand       `cmd:"" help:"Create the certificates of the system's processes."`
	Completion CompletionCommand `cmd:"" help:"Print a completion script for a shell."`
}

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	if err := checkURL("--platform", s.Platform); err != nil {
		return err
	}
	for _, g := range s.Gateways {
		if err := checkURL("--gateway", g); err != nil {
			return err
		}
	}
	return process.CheckRange("--timeout", s.Timeout, 100*time.Millisecond, time.Hour)
}

func checkURL(setting, value string) error {
	u, err := url.Parse(value)
	if err == nil && u.Scheme == "http" && (u.Path == "" || u.Path == "/") {
		if _, err := netip.ParseAddrPort(u.Host); err == nil {
			return nil
		}
	}
	return &process.SettingError{Setting: setting, Value: value,
		Allowed: "http://IP:PORT, for example http://127.0.0.1:7000"}
}

// Env holds the dependencies of the commands.
type Env struct {
	settings *Settings
	log      platform.Log
	list     platform.List
	client   *http.Client
	configs  ConfigChecker
	out      io.Writer
	// progress receives progress messages, which are not part of the result.
	progress io.Writer
	now      func() time.Time
}

// Streams are the standard output and standard error of the program.
type Streams struct{ Out, Err io.Writer }

// NewEnv returns the environment of one command.
func NewEnv(s *Settings, log platform.Log, list platform.List, c *http.Client, configs ConfigChecker, w Streams) *Env {
	return &Env{settings: s, log: log, list: list, client: c, configs: configs, out: w.Out, progress: w.Err, now: time.Now}
}

// NewHTTPClient returns the client for calls to the platform and to gateways.
func NewHTTPClient() *http.Client { return &http.Client{} }

// NewLog returns a client of the platform's log service.
func NewLog(s *Settings, c *http.Client) platform.Log { return platform.NewHTTPLog(s.Platform, c) }

// NewList returns a client of the platform's instance list.
func NewList(s *Settings, c *http.Client) platform.List { return platform.NewHTTPList(s.Platform, c) }

// Main runs the command in args and returns the exit code. It calls initialize for the environment after the settings
// have been parsed and checked.
func Main(ctx context.Context, args []string, w Streams, initialize func(*Settings, Streams) *Env) int {
	cli := &CLI{}
	exit := -1
	k, err := kong.New(cli, kong.Name(Name), kong.Description(description), kong.ShortUsageOnError(),
		kong.Writers(w.Out, w.Err), kong.Exit(func(code int) { exit = code }),
		kong.Vars{"version": Name + " " + process.Version}, kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return reportError(cli, w, err)
	}
	kctx, err := k.Parse(args)
	if exit >= 0 {
		return exit // Help or version was printed.
	}
	if err != nil {
		k.FatalIfErrorf(err)
		return exitUsage
	}
	if err := cli.Settings.Check(); err != nil {
		return reportError(cli, w, err)
	}
	ctx, cancel := context.WithTimeout(ctx, cli.Settings.Timeout)
	defer cancel()
	kctx.BindTo(ctx, (*context.Context)(nil))
	if err := kctx.Run(initialize(&cli.Settings, w), k.Model); err != nil {
		return reportError(cli, w, err)
	}
	return exitOK
}
