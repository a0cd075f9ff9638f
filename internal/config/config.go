// Package config follows the config stream and gives every process the same manifest in the same order.
package config

import "clementinewalk.example/clementinewalk/internal/manifest"

// Version is one manifest in force. Versions are immutable and shared between goroutines.
type Version struct {
	// Offset is the offset of the publication and the number of the version.
	Offset   uint64
	Manifest *manifest.Manifest
	// Raw is the YAML text that was published.
	Raw []byte
}

// Source gives the newest version.
type Source interface {
	// Current returns the version in force, or nil before the first one. It never goes back to a lower offset.
	Current() *Version
	// Changed returns a channel that is closed when a version newer than the current one is in force.
	Changed() <-chan struct{}
}
