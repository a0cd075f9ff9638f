package main

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Settings are the flags of clementine-gateway.
type Settings struct {
	entry.Settings
	HTTPListen string        `name:"http-listen" env:"CLEMENTINE_GATEWAY_HTTP_LISTEN" default:"127.0.0.1:7100" help:"Address of the callers' HTTP endpoint. Other instances use it as given."`
	LinkListen string        `name:"link-listen" env:"CLEMENTINE_GATEWAY_LINK_LISTEN" default:"127.0.0.1:7101" help:"Address of the QUIC endpoint. Other instances use it as given."`
	MemoryMB   int           `name:"memory-mb" env:"CLEMENTINE_GATEWAY_MEMORY_MB" default:"0" help:"Memory above which the process is killed, in MiB; the limits for callers follow from it. 0: unknown, 512 is assumed."`
	MaxFDs     int           `name:"max-fds" env:"CLEMENTINE_GATEWAY_MAX_FDS" default:"0" help:"Most open descriptors; the limit on connections follows from it. 0: the limit of the operating system."`
	DrainDelay time.Duration `env:"CLEMENTINE_GATEWAY_DRAIN_DELAY" default:"2s" help:"Time for which a stopping gateway keeps serving after it has become not ready."`
}

// maxDrainDelay keeps a graceful shutdown within the time that the platform allows for it.
const maxDrainDelay = 5 * time.Minute

// maxMemoryMB and maxDescriptors are above the limits of any instance.
const (
	maxMemoryMB    = 1 << 20
	maxDescriptors = 1 << 20
)

// memoryLimitShare is the share of the memory that is set as the soft memory limit of the Go runtime, as in
// clementine-node.
const memoryLimitShare = 0.7

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		s.Settings.Check(),
		process.CheckAddr("--http-listen", s.HTTPListen),
		process.CheckAddr("--link-listen", s.LinkListen),
		process.CheckRange("--memory-mb", s.MemoryMB, 0, maxMemoryMB),
		process.CheckRange("--max-fds", s.MaxFDs, 0, maxDescriptors),
		process.CheckRange("--drain-delay", s.DrainDelay, 0, maxDrainDelay),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
