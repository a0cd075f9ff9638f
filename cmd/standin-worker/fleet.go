package main

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"

	"clementinewalk.example/clementinewalk/internal/manifest"
	"clementinewalk.example/clementinewalk/internal/process"
	"clementinewalk.example/clementinewalk/internal/resource"
	standin "clementinewalk.example/clementinewalk/internal/standin/worker"
)

// The data centres of a manifest use the loopback networks 127.10.0.0/16, 127.11.0.0/16 and so on, because link
// conditions are selected by address.
const (
	firstNetworkOctet = 10
	maxNetworks       = 200
)

// configs returns the configuration of every simulated worker.
func (s *Settings) configs() ([]standin.Config, error) {
	m, err := s.readManifest()
	if err != nil {
		return nil, err
	}
	model, err := s.model(m)
	if err != nil {
		return nil, err
	}
	sites, err := s.sites(m)
	if err != nil {
		return nil, err
	}
	base := standin.Config{Slots: s.Slots, Connections: s.Connections, Model: model, UsageLag: s.UsageLag,
		LeaveGracePeriod: s.LateAfter,
		Capacity:         resource.Vector{MilliCores: s.MilliCores, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}}
	perRack := s.PerRack
	if m != nil {
		base.Slots, base.Connections, base.Capacity, perRack = m.Worker.Slots, m.Worker.Connections, m.Worker.Capacity,
			m.Worker.PerRack
	}
	var out []standin.Config
	for _, site := range sites {
		out = append(out, site.Configs(base, perRack)...)
	}
	for i, c := range out {
		out[i].Drift = model.Drift(string(c.ID), s.Drift)
	}
	return out, nil
}

// readManifest returns the manifest of the setting --manifest, or nil if none is set.
func (s *Settings) readManifest() (*manifest.Manifest, error) {
	if s.Manifest == "" {
		return nil, nil
	}
	data, err := os.ReadFile(s.Manifest)
	if err != nil {
		return nil, &process.SettingError{Setting: "--manifest", Value: s.Manifest,
			Allowed: "a readable file: " + err.Error()}
	}
	return manifest.Parse(s.Manifest, data)
}

// model returns the model of run times. The kinds of the setting --kinds override those of the manifest.
func (s *Settings) model(m *manifest.Manifest) (*standin.Model, error) {
	out := &standin.Model{Seed: s.Seed, Kinds: map[string]standin.Kind{}, Variation: s.Variation,
		StragglerShare: s.StragglerShare, StragglerFactor: s.StragglerFactor, Misdeclaration: s.Misdeclaration,
		Interference: s.Interference}
	if m != nil {
		for _, k := range m.Kinds {
			// Batch tasks run for the time that is declared with their job.
			if k.Class == manifest.ClassRequest {
				out.Kinds[k.Name] = standin.Kind{RunTime: k.RunTime}
			}
		}
	}
	for _, text := range s.Kinds {
		name, k, err := standin.ParseKind(text)
		if err != nil {
			return nil, err
		}
		out.Kinds[name] = k
	}
	return out, nil
}

// sites returns the data centres of the setting --fleet, or else those of the manifest.
func (s *Settings) sites(m *manifest.Manifest) ([]standin.Site, error) {
	var out []standin.Site
	for _, text := range s.Fleet {
		site, err := standin.ParseSite(text)
		if err != nil {
			return nil, err
		}
		out = append(out, site)
	}
	if len(out) > 0 {
		return out, nil
	}
	if m == nil {
		return nil, &process.SettingError{Setting: "--fleet",
			Allowed: "at least one NAME=COUNT@IP:PORT, or a --manifest"}
	}
	return s.manifestSites(m)
}

// manifestSites returns the data centres of the manifest, limited to those of the setting --sites if any are set.
func (s *Settings) manifestSites(m *manifest.Manifest) ([]standin.Site, error) {
	if len(m.DataCentres) > maxNetworks {
		return nil, &process.SettingError{Setting: "--manifest", Value: s.Manifest,
			Allowed: fmt.Sprintf("at most %d data centres", maxNetworks)}
	}
	var names []string
	var out []standin.Site
	for i, dc := range m.DataCentres {
		names = append(names, dc.Name)
		if len(s.Sites) > 0 && !slices.Contains(s.Sites, dc.Name) {
			continue
		}
		first := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(firstNetworkOctet + i), 0, 1}),
			uint16(s.FirstPort))
		// The site is parsed from its textual form, so that the checks of --fleet apply to the manifest as well.
		site, err := standin.ParseSite(fmt.Sprintf("%s=%d@%s", dc.Name, dc.Workers, first))
		if err != nil {
			return nil, err
		}
		out = append(out, site)
	}
	for _, name := range s.Sites {
		if !slices.Contains(names, name) {
			return nil, &process.SettingError{Setting: "--sites", Value: name, Allowed: strings.Join(names, ", ")}
		}
	}
	return out, nil
}
