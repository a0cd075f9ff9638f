package catalog

import (
	"log/slog"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/eventlog"
)

func endpointEntry(t *testing.T, instance, addr string) eventlog.Entry {
	e, err := EndpointEntry(&Endpoint{Instance: instance, Addr: addr, Fingerprint: []byte{1}})
	require.NoError(t, err)
	return e
}

func addrs(endpoints []Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		out = append(out, e.Addr)
	}
	return out
}

// Guards against the use of an endpoint that was replaced or withdrawn, also one that was withdrawn while this
// instance read nothing.
func TestPeers(t *testing.T) {
	c := New(slog.New(slog.DiscardHandler))
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{endpointEntry(t, "self", "1"), endpointEntry(t, "a", "2"),
		endpointEntry(t, "b", "3"), {Key: endpointPrefix + "bad", Value: []byte("x")}}})
	assert.ElementsMatch(t, []string{"2", "3"}, addrs(c.Peers("self", 5)))
	assert.Equal(t, 3, c.CountInstances())
	owner, err := OwnerEntry(&Ownership{Epoch: 1, Instance: "b"})
	require.NoError(t, err)
	c.ApplyProgress([]eventlog.Entry{owner})
	for range 20 {
		assert.Equal(t, []string{"3"}, addrs(c.Peers("self", 1)), "the owner comes first")
	}
	c.ApplySubmissions(eventlog.Batch{Entries: []eventlog.Entry{endpointEntry(t, "a", "4"), RemoveEndpointEntry("b")}})
	assert.Equal(t, []string{"4"}, addrs(c.Peers("self", 5)))
	c.ApplySubmissions(eventlog.Batch{Reset: true, Entries: []eventlog.Entry{endpointEntry(t, "self", "1")}})
	assert.Empty(t, c.Peers("self", 5))
	assert.Empty(t, c.All(), "no endpoint counts as a submission")
}
