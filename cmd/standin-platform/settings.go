package main

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/process"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

// Settings are the flags of standin-platform.
type Settings struct {
	process.LogSettings
	Listen           string        `env:"CLEMENTINE_PLATFORM_LISTEN" default:"127.0.0.1:7000" help:"Address of the HTTP endpoint."`
	AppendsPerSecond float64       `env:"CLEMENTINE_PLATFORM_APPENDS_PER_SECOND" default:"300" help:"Appends per second over all streams; 0 for no limit."`
	MaxRecords       int           `env:"CLEMENTINE_PLATFORM_MAX_RECORDS" default:"200000" help:"Records kept in each stream; 0 for no limit."`
	MaxAge           time.Duration `env:"CLEMENTINE_PLATFORM_MAX_AGE" default:"24h" help:"Time for which records are kept; 0 for no limit."`
	ListLag          time.Duration `env:"CLEMENTINE_PLATFORM_LIST_LAG" default:"2s" help:"Time by which readers of the instance list lag behind."`
	ListTTL          time.Duration `env:"CLEMENTINE_PLATFORM_LIST_TTL" default:"15s" help:"Time after which an instance is forgotten that does not refresh its entry."`
	Seed             uint64        `env:"CLEMENTINE_PLATFORM_SEED" default:"1" help:"Seed of the random faults."`
}

const (
	maxRate     = 1e6
	maxRecords  = 100_000_000
	maxDuration = 30 * 24 * time.Hour
)

// Check returns a *process.SettingError for the first setting that is not allowed.
func (s *Settings) Check() error {
	checks := []error{
		process.CheckAddr("--listen", s.Listen),
		process.CheckRange("--appends-per-second", s.AppendsPerSecond, 0, maxRate),
		process.CheckRange("--max-records", s.MaxRecords, 0, maxRecords),
		process.CheckRange("--max-age", s.MaxAge, 0, maxDuration),
		process.CheckRange("--list-lag", s.ListLag, 0, time.Hour),
		process.CheckRange("--list-ttl", s.ListTTL, 0, maxDuration),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func newLog(s *Settings) *standin.Log {
	return standin.NewLog(standin.Limits{AppendsPerSecond: s.AppendsPerSecond, MaxRecords: s.MaxRecords,
		MaxAge: s.MaxAge}, s.Seed)
}

func newList(s *Settings) *standin.List { return standin.NewList(s.ListLag, s.ListTTL) }

func newHealth() *process.Health { return &process.Health{} }
