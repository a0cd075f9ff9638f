package main

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/process"
)

// Settings are the flags of the program.
type Settings struct {
	process.LogSettings
	ID         string        `required:"" env:"CLEMENTINE_ID" help:"Id of this instance; its certificate must have the same name."`
	DataCentre string        `required:"" env:"CLEMENTINE_DATA_CENTRE" help:"Data centre of this instance."`
	HTTPListen string        `name:"http-listen" env:"CLEMENTINE_GATEWAY_HTTP_LISTEN" default:"127.0.0.1:7100" help:"Address of the callers' HTTP endpoint. Other instances use it as given."`
	LinkListen string        `name:"link-listen" env:"CLEMENTINE_GATEWAY_LINK_LISTEN" default:"127.0.0.1:7101" help:"Address of the QUIC endpoint. Other instances use it as given."`
	Platform   string        `env:"CLEMENTINE_PLATFORM" default:"http://127.0.0.1:7000" help:"URL of the platform's log service and instance list."`
	Keys       string        `env:"CLEMENTINE_KEYS" default:"keys" help:"Directory with the certificate and key of this instance and the authority's certificate."`
	Conditions string        `env:"CLEMENTINE_LINK_CONDITIONS" help:"File with simulated conditions of the links between data centres, for tests and demonstrations."`
	LinkSeed   uint64        `env:"CLEMENTINE_LINK_SEED" default:"1" help:"Seed of the simulated losses and delays."`
	DrainDelay time.Duration `env:"CLEMENTINE_GATEWAY_DRAIN_DELAY" default:"2s" help:"Time for which a stopping gateway keeps serving after it has become not ready."`
}

// maxDrainDelay keeps a planned stop within the patience of the platform.
const maxDrainDelay = 5 * time.Minute

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		process.CheckAddr("--http-listen", s.HTTPListen),
		process.CheckAddr("--link-listen", s.LinkListen),
		process.CheckRange("--drain-delay", s.DrainDelay.Seconds(), 0, maxDrainDelay.Seconds()),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}
