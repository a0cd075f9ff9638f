// Package config follows the config stream, from which every process reads the same sequence of manifest versions.
package config

import (
	"time"

	"clementinewalk.example/clementinewalk/internal/manifest"
)

// Version is one accepted manifest. Versions are immutable and shared between goroutines.
type Version struct {
	// Offset is the offset of the publication and the number of the version.
	Offset   uint64
	Manifest *manifest.Manifest
	// Raw is the YAML text that was published.
	Raw []byte
	// Published is the time of publication by the publisher's clock; zero for a version that was fetched from a peer.
	Published time.Time
}

// Source provides the active version.
type Source interface {
	// Current returns the active version, or nil before the first one. Its offset never decreases.
	Current() *Version
	// Changed returns a channel that is closed when a version newer than the current one becomes active. Callers get
	// the channel before they call Current, so that they miss no change.
	Changed() <-chan struct{}
}
