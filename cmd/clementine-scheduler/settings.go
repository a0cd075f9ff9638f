package main

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/process"
)

// Settings are the flags of the program.
type Settings struct {
	process.LogSettings
	ID            string        `required:"" env:"CLEMENTINE_ID" help:"Id of this instance; its certificate must have the same name."`
	DataCentre    string        `required:"" env:"CLEMENTINE_DATA_CENTRE" help:"Data centre of this instance."`
	HTTPListen    string        `name:"http-listen" env:"CLEMENTINE_SCHEDULER_HTTP_LISTEN" default:"127.0.0.1:7200" help:"Address of the operators' HTTP endpoint. Other instances use it as given."`
	LinkListen    string        `name:"link-listen" env:"CLEMENTINE_SCHEDULER_LINK_LISTEN" default:"127.0.0.1:7201" help:"Address of the QUIC endpoint. Other instances use it as given."`
	Platform      string        `env:"CLEMENTINE_PLATFORM" default:"http://127.0.0.1:7000" help:"URL of the platform's log service and instance list."`
	Keys          string        `env:"CLEMENTINE_KEYS" default:"keys" help:"Directory with the certificate and key of this instance and the authority's certificate."`
	Conditions    string        `env:"CLEMENTINE_LINK_CONDITIONS" help:"File with simulated conditions of the links between data centres, for tests and demonstrations."`
	LinkSeed      uint64        `env:"CLEMENTINE_LINK_SEED" default:"1" help:"Seed of the simulated losses and delays."`
	LeaseInterval time.Duration `env:"CLEMENTINE_SCHEDULER_LEASE_INTERVAL" default:"1s" help:"Time between two renewals of a worker's lease."`
}

// The lease interval must leave room for several renewals within the shortest sensible TTL.
const (
	minLeaseInterval = 100 * time.Millisecond
	maxLeaseInterval = 5 * time.Second
)

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		process.CheckAddr("--http-listen", s.HTTPListen),
		process.CheckAddr("--link-listen", s.LinkListen),
		process.CheckRange("--lease-interval (seconds)", s.LeaseInterval.Seconds(), minLeaseInterval.Seconds(), maxLeaseInterval.Seconds()),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
