package process

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against invalid settings that are accepted, or rejected without their name, value and the allowed values.
func TestRefusedSettings(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, ln.Close()) }()
	_, listenErr := Listen("--listen", ln.Addr().String())
	var listen *ListenError
	require.ErrorAs(t, listenErr, &listen)
	require.Equal(t, ln.Addr().String(), listen.Addr)

	tests := map[string]error{
		`setting --wait has value "1h0m0s"; allowed: 50ms to 1m0s`: CheckRange("--wait", time.Hour,
			50*time.Millisecond, time.Minute),
		`setting --slots has value "0"; allowed: 1 to 8`: CheckRange("--slots", 0, 1, 8),
		`setting --listen has value "localhost:1"; allowed: an IP address and port, for example 127.0.0.1:7000`: CheckAddr(
			"--listen", "localhost:1"),
	}
	for want, err := range tests {
		var refused *SettingError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, want, err.Error())
	}
	require.NoError(t, CheckRange("--slots", 8, 1, 8))
	require.NoError(t, CheckAddr("--listen", "127.0.0.1:0"))
}
