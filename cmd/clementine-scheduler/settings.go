package main

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/entry"
	"clementinewalk.example/clementinewalk/internal/process"
)

// Settings are the flags of clementine-scheduler.
type Settings struct {
	entry.Settings
	HTTPListen    string        `name:"http-listen" env:"CLEMENTINE_SCHEDULER_HTTP_LISTEN" default:"127.0.0.1:7200" help:"Address of the operators' HTTP endpoint. Other instances use it as given."`
	LinkListen    string        `name:"link-listen" env:"CLEMENTINE_SCHEDULER_LINK_LISTEN" default:"127.0.0.1:7201" help:"Address of the QUIC endpoint. Other instances use it as given."`
	LeaseInterval time.Duration `env:"CLEMENTINE_SCHEDULER_LEASE_INTERVAL" default:"1s" help:"Time between two renewals of a worker's lease; at most a third of the manifest's lease_ttl."`
}

const (
	minLeaseInterval = 50 * time.Millisecond
	maxLeaseInterval = time.Minute
)

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		s.Settings.Check(),
		process.CheckAddr("--http-listen", s.HTTPListen),
		process.CheckAddr("--link-listen", s.LinkListen),
		process.CheckRange("--lease-interval", s.LeaseInterval, minLeaseInterval, maxLeaseInterval),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
