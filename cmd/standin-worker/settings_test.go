package main

import (
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/process"
)

func parse(t *testing.T, args ...string) *Settings {
	s := &Settings{}
	k, err := kong.New(s, kong.Vars{"version": ""})
	require.NoError(t, err)
	_, err = k.Parse(args)
	require.NoError(t, err)
	return s
}

// Guards against two data centres in one loopback network, workers whose size differs from the manifest, and default
// settings that are rejected.
func TestManifestFleet(t *testing.T) {
	s := parse(t, "--manifest=../../examples/quotes.yaml")
	require.NoError(t, s.Check())
	configs, err := s.configs()
	require.NoError(t, err)
	require.Len(t, configs, 65)
	require.Equal(t, "127.10.0.1:9016", configs[16].Addr)
	require.Equal(t, 2, configs[16].Rack)
	require.Equal(t, "127.11.0.1:9000", configs[17].Addr)
	require.Equal(t, int64(250000), configs[0].Capacity.MemoryMB)
	require.Positive(t, configs[0].Model.Kinds["cavity-cost"].RunTime)
	configs, err = parse(t, "--manifest=../../examples/quotes.yaml", "--sites=ipswich").configs()
	require.NoError(t, err)
	require.Equal(t, "127.11.0.1:9000", configs[0].Addr)
}

// Guards against invalid settings that are not reported before the program runs.
func TestWrongSettings(t *testing.T) {
	for _, args := range [][]string{
		{}, {"--fleet=a"}, {"--fleet=a=1@127.10.0.1:9000", "--kinds=x"}, {"--manifest=missing.yaml"},
		{"--fleet=a=2@127.10.0.1:65535"},
		{"--fleet=a=1@127.10.0.1:9000", "--platform=ftp://x"}, {"--fleet=a=1@127.10.0.1:9000", "--slots=0"},
		{"--manifest=../../examples/quotes.yaml", "--sites=nowhere"},
	} {
		var wrong *process.SettingError
		require.ErrorAs(t, parse(t, args...).Check(), &wrong, args)
	}
}
