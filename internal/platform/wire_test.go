package platform

import (
	"bytes"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Guards against bytes from a client or the platform that make the decoder panic or allocate without limit.
func FuzzDecode(f *testing.F) {
	for _, v := range []any{AppendRequest{Records: [][]byte{{1}}}, Page{First: 1},
		MembersReply{Members: []instance.Member{{ID: "a"}}}, ErrorReply{Oldest: 2}} {
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

// Guards against stream names that the server does not get back from the path that the client has made of them.
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
