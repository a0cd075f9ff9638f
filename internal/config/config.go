// Package config follows the config stream and gives every process the same manifest in the same order.
package config

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Version is one manifest in force. Versions are immutable and shared between goroutines.
type Version struct {
	// Offset is the offset of the publication and the number of the version.
	Offset   uint64
	Manifest *manifest.Manifest
	// Raw is the YAML text that was published.
	Raw []byte
	// Published is the publisher's time; zero for a version that was fetched from a peer.
	Published time.Time
}

// Source gives the newest version.
type Source interface {
	// Current returns the version in force, or nil before the first one. It never goes back to a lower offset.
	Current() *Version
	// Changed returns a channel that is closed when a version newer than the current one is in force. Callers take the
	// channel before they read Current, so that they miss no change.
	Changed() <-chan struct{}
}
