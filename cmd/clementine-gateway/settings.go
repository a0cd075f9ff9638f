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
	DrainDelay time.Duration `env:"CLEMENTINE_GATEWAY_DRAIN_DELAY" default:"2s" help:"Time for which a stopping gateway keeps serving after it has become not ready."`
}

// maxDrainDelay keeps a graceful shutdown within the time that the platform allows for it.
const maxDrainDelay = 5 * time.Minute

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		s.Settings.Check(),
		process.CheckAddr("--http-listen", s.HTTPListen),
		process.CheckAddr("--link-listen", s.LinkListen),
		process.CheckRange("--drain-delay", s.DrainDelay, 0, maxDrainDelay),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
