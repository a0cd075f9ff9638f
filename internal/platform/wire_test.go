package platform

import (
	"bytes"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Guards against a panic or an unbounded allocation on bytes that a client or the platform may deliver.
func FuzzDecode(f *testing.F) {
	for _, v := range []any{AppendRequest{Records: [][]byte{{1}}}, Page{First: 1}, MembersReply{Members: []instance.Member{{ID: "a"}}},
		ErrorReply{Oldest: 2}} {
		data, err := Encode(v)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, v := range []any{&AppendRequest{}, &Page{}, &MembersReply{}, &ErrorReply{}, &instance.Member{}} {
			if Decode(bytes.NewReader(data), "fuzz", v) == nil {
				_, err := Encode(v)
				require.NoError(t, err)
			}
		}
	})
}

// Guards against streams whose names the server takes apart in another way than the client put them together.
func FuzzRecordsPath(f *testing.F) {
	f.Add("shard/brisbane-0")
	f.Add("a%2f b/records")
	f.Fuzz(func(t *testing.T, stream string) {
		if stream == "" {
			return
		}
		u, err := url.PathUnescape(RecordsPath(stream))
		require.NoError(t, err)
		got, ok := StreamOf(u)
		require.True(t, ok)
		require.Equal(t, stream, got)
	})
}
