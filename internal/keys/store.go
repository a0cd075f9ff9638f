package keys

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"clementinewalk.example/clementinewalk/internal/instance"
	"clementinewalk.example/clementinewalk/internal/process"
)

const (
	// reloadInterval bounds how long a replaced file stays unnoticed. Files are looked at only during handshakes.
	reloadInterval = time.Second
	// refusalLogInterval bounds the log lines that refused peers can cause.
	refusalLogInterval = 10 * time.Second
	// protocol is the ALPN name of the link protocol; it changes when the framing changes.
	protocol = "clementine-link/1"
)

// Store gives TLS configurations for one instance. It reads its files again after they have changed, so that certificates
// are replaced without a restart. Connections that are open keep the certificates of their handshake.
type Store struct {
	dir string
	id  instance.ID

	now      func() time.Time
	log      *slog.Logger
	refused  *prometheus.CounterVec
	logLimit *rate.Limiter

	mu      sync.Mutex
	pair    *pair
	state   [3]fileState
	checked time.Time
}

type pair struct {
	cert  tls.Certificate
	roots *x509.CertPool
	reset [sha256.Size]byte
}

type fileState struct {
	mtime time.Time
	size  int64
}

// Option changes a Store.
type Option func(*Store)

// WithLogger sets the log for refused peers and failed reloads; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(s *Store) { s.log = process.Part(l, "keys") }
}

// WithRegisterer registers the metric clementine_link_refused_peers_total{reason}.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(s *Store) {
		if r != nil {
			r.MustRegister(s.refused)
		}
	}
}

// WithClock sets the clock with which validity is judged.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// Open loads the certificate and key of an instance and the authority's certificate from dir. It returns *FileError if
// one is missing or unusable, and *RefusedError if the instance's own certificate has expired or is another's.
func Open(dir string, id instance.ID, options ...Option) (*Store, error) {
	s := &Store{dir: dir, id: id, now: time.Now, log: process.Part(slog.Default(), "keys"),
		logLimit: rate.NewLimiter(rate.Every(refusalLogInterval), 1),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementine_link_refused_peers_total",
			Help: "Number of connections refused because of the peer's certificate, by reason.",
		}, []string{"reason"})}
	for _, o := range options {
		o(s)
	}
	// The states are taken before the files are read, so that a change in between is noticed at the next look.
	state := s.fileStates()
	p, err := s.load()
	if err != nil {
		return nil, err
	}
	if err := s.checkOwn(p); err != nil {
		return nil, err
	}
	s.pair, s.state, s.checked = p, state, s.now()
	return s, nil
}

func (s *Store) paths() [3]string {
	return [3]string{certPath(s.dir, authorityName), certPath(s.dir, string(s.id)), keyPath(s.dir, string(s.id))}
}

func (s *Store) fileStates() [3]fileState {
	var out [3]fileState
	for i, p := range s.paths() {
		if info, err := os.Stat(p); err == nil {
			out[i] = fileState{mtime: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (s *Store) load() (*pair, error) {
	paths := s.paths()
	der, err := readPEM(paths[0], pemCertificate)
	if err != nil {
		return nil, err
	}
	ca, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, &FileError{Path: paths[0], Err: err}
	}
	keyDER, err := readPEM(paths[2], pemKey)
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(paths[1], paths[2])
	if err != nil {
		return nil, &FileError{Path: paths[1], Err: err}
	}
	p := &pair{cert: cert, roots: x509.NewCertPool(), reset: sha256.Sum256(append([]byte("stateless reset "), keyDER...))}
	p.roots.AddCert(ca)
	return p, nil
}

func (s *Store) checkOwn(p *pair) error {
	id, _, err := verifyChain(p.cert.Leaf, nil, p.roots, s.now())
	if err != nil {
		return err
	}
	if id != s.id {
		return &RefusedError{Reason: ReasonMalformed, Peer: string(id), Detail: "the file belongs to " + string(s.id)}
	}
	return nil
}

// current returns the newest usable files. A pair that cannot be loaded, for example because only one of its files has
// been replaced yet, leaves the earlier one in use.
func (s *Store) current() *pair {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checked) < reloadInterval {
		return s.pair
	}
	s.checked = now
	state := s.fileStates()
	if state == s.state {
		return s.pair
	}
	p, err := s.load()
	if err == nil {
		err = s.checkOwn(p)
	}
	if err != nil {
		s.log.Warn("changed key files are not usable, the earlier ones stay in use", "error", err)
		return s.pair
	}
	s.pair, s.state = p, state
	s.log.Info("key files were loaded again", "id", s.id, "expires", p.cert.Leaf.NotAfter)
	return s.pair
}

// ID returns the instance of the store.
func (s *Store) ID() instance.ID { return s.id }

// Expires returns the end of validity of the certificate in use.
func (s *Store) Expires() time.Time { return s.current().cert.Leaf.NotAfter }

// ResetKey returns a secret that stays the same over restarts, as QUIC's stateless resets need it.
func (s *Store) ResetKey() [sha256.Size]byte { return s.current().reset }

// ServerTLS returns a configuration that accepts peers of the given roles.
func (s *Store) ServerTLS(roles ...instance.Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(roles), nil }}
}

func (s *Store) serverConfig(roles []instance.Role) *tls.Config {
	p := s.current()
	// The certificate is requested rather than required, so that a missing one reaches verify and is counted there.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol},
		Certificates: []tls.Certificate{p.cert}, ClientAuth: tls.RequestClientCert, SessionTicketsDisabled: true,
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles, netip.Addr{}) }}
}

// ClientTLS returns a configuration for calls to addr. The peer must have one of the given roles and a certificate for the
// address.
func (s *Store) ClientTLS(addr netip.Addr, roles ...instance.Role) *tls.Config {
	p := s.current()
	// The library's own check is replaced by verify, which also applies to authorities that are loaded later.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, InsecureSkipVerify: true,
		ServerName: addr.String(), Certificates: []tls.Certificate{p.cert},
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles, addr.Unmap()) }}
}
