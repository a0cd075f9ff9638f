package clients

import (
	"net/http"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const manifestFile = "../faults/testdata/small.yaml"

// startGateway starts clementine-gateway with a stand-in of the platform and a manifest, and returns it with the address
// for callers. There are no schedulers and workers: a job is accepted without them.
func startGateway(t *testing.T, programs string) (*server, string) {
	keys, ctl := t.TempDir(), filepath.Join(programs, "clementinectl")
	platformAddr, callers := freeAddr(t), freeAddr(t)
	startProcess(t, "platform", nil, filepath.Join(programs, "standin-platform"), "--listen", platformAddr)
	command := func(args ...string) {
		out, err := exec.Command(ctl, args...).CombinedOutput()
		require.NoError(t, err, string(out))
	}
	command("keys", "init", "--dir", keys)
	command("keys", "issue", "gateway-0", "--dir", keys, "--role", "gateway", "--ip", "127.0.0.1", "--validity", "24h")
	platformURL := "http://" + platformAddr
	require.Eventually(t, func() bool { return statusOf(http.MethodGet, platformAddr, "h", "/readyz", "") == http.StatusOK },
		startLimit, 50*time.Millisecond, "the stand-in of the platform is not ready")
	command("publish", manifestFile, "--operator", "clients", "--platform", platformURL)
	s := startProcess(t, "clementine-gateway", []string{"CLEMENTINE_GATEWAY_MEMORY_MB=" + strconv.Itoa(memoryMB),
		"CLEMENTINE_GATEWAY_MAX_FDS=" + strconv.Itoa(maxDescriptors)}, filepath.Join(programs, "clementine-gateway"),
		"--id", "gateway-0", "--data-centre", "brisbane", "--platform", platformURL, "--keys", keys,
		"--http-listen", callers, "--link-listen", freeAddr(t))
	require.Eventually(t, func() bool {
		return statusOf(http.MethodPost, callers, "h", "/v1/jobs", gatewayJob) == http.StatusAccepted
	},
		startLimit, 100*time.Millisecond, "the gateway does not accept jobs")
	return s, callers
}

const gatewayJob = `{"kind":"tool-rebid","tasks":1}`
