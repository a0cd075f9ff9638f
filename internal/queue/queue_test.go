package queue

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"clementinewalk.example/clementinewalk/internal/workflow"
)

func newQueue(name, host, prefix string) Queue {
	return Queue{Host: host, PathPrefix: prefix, Terms: workflow.Terms{Queue: name}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := New(1, []Queue{newQueue("wide", "h", "/a/"), newQueue("narrow", "h", "/a/b/"),
		newQueue("other", "g", "/a/b/c/")}, nil, Limits{})
	for path, want := range map[string]string{"/a/x": "wide", "/a/b/x": "narrow", "/a/b/c/x": "narrow"} {
		assert.Equal(t, want, c.Find("h", path).Terms.Queue, path)
	}
	assert.Nil(t, c.Find("h", "/b/"))
	assert.Nil(t, c.Find("unknown", "/a/x"))
	assert.Equal(t, "other", c.Named("other").Terms.Queue)
	assert.Nil(t, c.Named("removed"))
}

// Guards against a configuration version that decreases when a stale read delivers an older one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	var current Current
	assert.Nil(t, current.Load())
	assert.True(t, current.Advance(New(7, nil, nil, Limits{})))
	assert.False(t, current.Advance(New(7, nil, nil, Limits{})))
	assert.False(t, current.Advance(New(5, nil, nil, Limits{})))
	assert.Equal(t, int64(7), current.Load().Version)
}
