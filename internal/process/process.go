// Package process holds what all programs share: settings, logging, health and metrics endpoints, and graceful
// shutdown.
package process

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

// Version is the version of the programs. It can be set at link time with -X.
var Version = "development"

// LogSettings are the logging flags of every program.
type LogSettings struct {
	LogLevel  string           `env:"CLEMENTINE_LOG_LEVEL" default:"info" enum:"debug,info,warn,error" help:"Lowest level that is logged: debug, info, warn or error."`
	LogFormat string           `env:"CLEMENTINE_LOG_FORMAT" default:"text" enum:"text,json" help:"Format of log lines: text or json."`
	Version   kong.VersionFlag `help:"Print the version and exit."`
}

// NewLogger returns a logger that writes to w.
func (s LogSettings) NewLogger(w io.Writer) *slog.Logger {
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		level = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: shortenError}
	if s.LogFormat == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// shortenError replaces an error attribute by its message, because the text handler prints the stack trace of a wrapped
// error.
func shortenError(_ []string, a slog.Attr) slog.Attr {
	if a.Value.Kind() != slog.KindAny {
		return a
	}
	if err, ok := a.Value.Any().(error); ok {
		a.Value = slog.StringValue(err.Error())
	}
	return a
}

// WithPrefix returns a logger that prepends "prefix: " to every message.
func WithPrefix(l *slog.Logger, prefix string) *slog.Logger {
	return slog.New(&prefixHandler{Handler: l.Handler(), prefix: prefix + ": "})
}

type prefixHandler struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (h *prefixHandler) Handle(ctx context.Context, r slog.Record) error {
	r.Message = h.prefix + r.Message
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithAttrs(attrs), prefix: h.prefix}
}

// WithGroup implements slog.Handler.
func (h *prefixHandler) WithGroup(name string) slog.Handler {
	return &prefixHandler{Handler: h.Handler.WithGroup(name), prefix: h.prefix}
}

// Parse fills cli from flags and environment variables. For help, the version and usage errors it prints the text and
// exits the process.
func Parse(cli any, name, description string) *kong.Context {
	version := Version
	if info, ok := debug.ReadBuildInfo(); ok {
		version += " " + info.GoVersion
	}
	return kong.Parse(cli, kong.Name(name), kong.Description(description), kong.UsageOnError(),
		kong.Vars{"version": name + " " + version})
}

// Run calls f with a context that ends at SIGTERM or SIGINT, and returns the exit code of the process: 1 if f returned
// an error. A second signal terminates the process immediately.
func Run(l *slog.Logger, f func(ctx context.Context) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		<-ctx.Done()
		stop()
	}()
	if err := f(ctx); err != nil {
		l.Error("process: stopped with an error", "error", err)
		return 1
	}
	l.Info("process: stopped")
	return 0
}

// CheckAddr returns a *SettingError unless value is an IP address and port.
func CheckAddr(setting, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return &SettingError{Setting: setting, Value: value,
			Allowed: "an IP address and port, for example 127.0.0.1:7000"}
	}
	return nil
}

// CheckRange returns a *SettingError unless low <= value <= high.
func CheckRange[T int | int64 | float64 | time.Duration](setting string, value, low, high T) error {
	if value < low || value > high {
		return &SettingError{Setting: setting, Value: fmt.Sprint(value), Allowed: fmt.Sprintf("%v to %v", low, high)}
	}
	return nil
}

// Listen opens a TCP listener on addr. It returns a *SettingError if addr is not an IP address and port, and a
// *ListenError if it cannot be listened on.
func Listen(setting, addr string) (net.Listener, error) {
	if err := CheckAddr(setting, addr); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &ListenError{Setting: setting, Addr: addr, Err: err}
	}
	return ln, nil
}
