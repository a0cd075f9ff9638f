package platform_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/platform"
	standin "clementinewalk.example/clementinewalk/internal/standin/platform"
)

// Guards against an unchanged list that is sent again, and against a cached list that is returned although the list has
// changed.
func TestListIsRevalidated(t *testing.T) {
	list := standin.NewList(0, time.Hour)
	h := standin.NewHandler(t.Context(), standin.NewLog(standin.Limits{}, 1), list)
	var sent atomic.Int64
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.ServeHTTP(&countingWriter{ResponseWriter: w, n: &sent}, r)
	}))
	defer srv.Close()
	c := platform.NewHTTPList(srv.URL, srv.Client())
	register := func(id instance.ID) {
		require.NoError(t, c.Register(t.Context(), instance.Member{ID: id, Incarnation: "i", Role: instance.RoleWorker,
			State: instance.StateLive}))
	}
	register("a")
	for want := 1; want <= 2; want++ {
		sent.Store(0)
		first, err := c.Members(t.Context(), instance.RoleWorker)
		require.NoError(t, err)
		require.Len(t, first, want)
		full := sent.Load()
		require.Positive(t, full)
		second, err := c.Members(t.Context(), instance.RoleWorker)
		require.NoError(t, err)
		require.Equal(t, first, second)
		require.Equal(t, full, sent.Load(), "the second answer must have no body")
		register("b")
	}
}

// countingWriter adds the bytes of the body to n.
type countingWriter struct {
	http.ResponseWriter
	n *atomic.Int64
}

func (w *countingWriter) Write(b []byte) (int, error) {
	w.n.Add(int64(len(b)))
	return w.ResponseWriter.Write(b)
}
