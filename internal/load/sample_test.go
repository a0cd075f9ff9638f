package load

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"clementinewalk.example/clementinewalk/internal/capacity"
)

// schedulerMetrics returns the metrics page of a scheduler that has run for the given seconds under constant load.
func schedulerMetrics(seconds float64, workers int) string {
	return fmt.Sprintf(`process_cpu_seconds_total %g
process_resident_memory_bytes 3e+07
clementine_scheduler_fenced_workers{shard="a"} %d
clementine_link_packet_bytes_total{direction="sent"} %g
clementine_link_packet_bytes_total{direction="received"} %g
clementine_link_bytes_total{direction="sent",kind="job-status-reply"} %g
clementine_tcp_bytes_total{direction="sent",use="worker"} %g
clementine_tcp_bytes_total{direction="received",use="platform"} %g
`, 0.02*seconds, workers, 300*seconds, 200*seconds, 100*seconds, 50*seconds, 7*seconds)
}

// startScheduler serves schedulerMetrics and returns the URL.
func startScheduler(t *testing.T, workers int) string {
	start := time.Now()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(schedulerMetrics(time.Since(start).Seconds(), workers)))
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against request traffic counted as control traffic, a standby measured as an owner, and rates that are divided
// by the wrong duration.
func TestSample(t *testing.T) {
	to := filepath.Join(t.TempDir(), "samples.jsonl")
	s := &Sample{Axis: "workers", Size: 16,
		Process:  []string{"scheduler=" + startScheduler(t, 16), "scheduler=" + startScheduler(t, 0)},
		Interval: time.Second, Repeat: 2, To: to}
	require.NoError(t, s.Run(context.Background()))
	f, err := os.Open(to)
	require.NoError(t, err)
	defer func() { _ = f.Close() }()
	samples, err := capacity.Decode(f)
	require.NoError(t, err)
	got := map[capacity.Role]map[capacity.Metric]float64{capacity.RoleOwner: {}, capacity.RoleStandby: {}}
	for _, v := range samples {
		require.Equal(t, capacity.AxisWorkers, v.Axis)
		got[v.Role][v.Metric] = v.Value
	}
	for _, values := range got {
		require.InEpsilon(t, 2, values[capacity.MetricCPU], 0.1)
		require.InEpsilon(t, 30, values[capacity.MetricResident], 0.001)
		require.InEpsilon(t, 300-100+50+200+7, values[capacity.MetricControl], 0.1)
		require.InEpsilon(t, 50, values[capacity.MetricWorkerControl], 0.1)
		require.InEpsilon(t, 100, values[capacity.MetricRequests], 0.1)
	}
}

// Guards against scrapes of targets outside the loopback range, with an unknown role, or without a URL.
func TestSampleTargets(t *testing.T) {
	for _, text := range []string{"gateway=http://10.0.0.1:80", "router=http://127.0.0.1:80", "gateway"} {
		s := &Sample{Process: []string{text}, Interval: time.Second, Repeat: 1}
		require.Error(t, s.Run(context.Background()), text)
	}
}

// Guards against a report that overwrites the hand-written part of the page, and against a page without markers that is
// left unchanged without an error.
func TestCapacityReport(t *testing.T) {
	dir := t.TempDir()
	line := `{"axis":"reference","size":0,"role":"run","metric":"in-force","value":0.3}`
	require.NoError(t, os.WriteFile(filepath.Join(dir, "direct.jsonl"), []byte(line), fileMode))
	page := filepath.Join(dir, "page.md")
	require.NoError(t, os.WriteFile(page, []byte("before\n"+beginMarker+"\nstale\n"+endMarker+"\nafter\n"), fileMode))
	c := &CapacityReport{Dir: dir, Page: page}
	require.NoError(t, c.Run(new(nullWriter)))
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Regexp(t, `(?s)^before\n.*in-force.*after\n$`, string(data))
	require.NotContains(t, string(data), "stale")
	require.NoError(t, os.WriteFile(page, []byte("no markers"), fileMode))
	var missing *MarkerError
	require.ErrorAs(t, c.Run(new(nullWriter)), &missing)
}

type nullWriter struct{}

func (*nullWriter) Write(b []byte) (int, error) { return len(b), nil }
