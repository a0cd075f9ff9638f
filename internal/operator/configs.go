package operator

import (
	"context"
	"fmt"
	"net/netip"

	"clementinewalk.example/clementinewalk/internal/configcheck"
	"clementinewalk.example/clementinewalk/internal/process"
)

// ConfigChecker checks configurations of queues and pools.
type ConfigChecker interface {
	// Check checks the text of a configuration. running is nil if the store was not read.
	Check(text []byte, running *configcheck.Running) configcheck.Report
	// Running reads what the store at addr, of the form ip:port, holds.
	Running(ctx context.Context, addr string) (*configcheck.Running, error)
}

// ConfigCommand holds the commands for the configuration of queues and pools.
type ConfigCommand struct {
	Check ConfigCheckCommand `cmd:"" help:"Check a configuration of queues and pools before it is published."`
}

// ConfigCheckCommand checks a configuration. Without a store, it needs nothing but the file.
type ConfigCheckCommand struct {
	File  string `arg:"" type:"existingfile" help:"JSON file, or - for standard input."`
	Store string `env:"CLEMENTINE_STORE" placeholder:"IP:PORT" help:"Address of the store, to compare with the version in force and the listed workers."`
}

// configResult is the result of the command config check.
type configResult struct {
	File string `json:"file"`
	configcheck.Report
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
	// NotCompared is why the configuration was not compared with the version in force, although a store was given.
	NotCompared string `json:"not_compared,omitempty"`
}

// ConfigFaultError reports a configuration with errors. The findings are part of the result.
type ConfigFaultError struct {
	File   string
	Errors int
}

// Error implements error.
func (e *ConfigFaultError) Error() string {
	return fmt.Sprintf("configuration %s has %s", e.File, plural(e.Errors, "error"))
}

func (e *ConfigFaultError) exitStatus() (int, string) {
	return exitFailure, "correct the lines; docs/clementinectl.md describes the checks"
}

// Run implements the command.
func (c *ConfigCheckCommand) Run(ctx context.Context, e *Env) error {
	if _, err := netip.ParseAddrPort(c.Store); c.Store != "" && err != nil {
		return &process.SettingError{Setting: "--store", Value: c.Store, Allowed: "IP:PORT, for example 127.0.0.1:7000"}
	}
	text, err := readFile(c.File)
	if err != nil {
		return err
	}
	r := configResult{File: c.File}
	var running *configcheck.Running
	if c.Store != "" {
		if running, err = e.configs.Running(ctx, c.Store); err != nil {
			r.NotCompared = err.Error()
			e.printProgress("Not compared with the version in force: %v", err)
		}
	}
	r.Report = e.configs.Check(text, running)
	r.Errors = r.Report.Errors()
	r.Warnings = len(r.Findings) - r.Errors
	if err := e.print(r, r.table()); err != nil {
		return err
	}
	if r.Errors > 0 {
		return &ConfigFaultError{File: c.File, Errors: r.Errors}
	}
	return nil
}

func (r *configResult) table() *table {
	t := &table{}
	for _, f := range r.Findings {
		t.add(f.Severity, f.String())
	}
	for _, ch := range r.Changes {
		t.add("change", fmt.Sprintf("%s: %s to %s", ch.Path, orNone(ch.Old), orNone(ch.New)))
	}
	t.footer = "Configuration " + r.File + ": " + plural(r.Errors, "error") + ", " + plural(r.Warnings, "warning")
	if r.Compared {
		t.footer += ", " + plural(len(r.Changes), "change") + " from version " + formatVersion(uint64(max(0, r.InForce)))
	}
	t.footer += "."
	return t
}

func orNone(v string) string {
	if v == "" {
		return "none"
	}
	return v
}
