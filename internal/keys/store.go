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
	// reloadInterval is the minimum time between two checks for replaced files. Files are checked only during
	// handshakes.
	reloadInterval = time.Second
	// refusalLogInterval is the minimum time between two log lines for refused peers.
	refusalLogInterval = 10 * time.Second
	// alpnProtocol is the ALPN name of the link protocol. It must change with the framing.
	alpnProtocol = "clementine-link/1"
)

// Store provides the TLS configurations of one instance. It reloads its files after they have changed, so that
// certificates can be replaced without a restart. Open connections keep the certificates of their handshake. It is safe
// for concurrent use.
type Store struct {
	dir string
	id  instance.ID

	now             func() time.Time
	log             *slog.Logger
	refusals        *prometheus.CounterVec
	refusalLogLimit *rate.Limiter

	mu          sync.Mutex
	credentials *credentials
	files       [3]fileState
	checkedAt   time.Time
}

// credentials holds the loaded certificate and key of the instance and the certificate of the authority.
type credentials struct {
	cert     tls.Certificate
	roots    *x509.CertPool
	resetKey [sha256.Size]byte
}

// fileState identifies a version of a file. It is zero if the file cannot be read.
type fileState struct {
	mtime time.Time
	size  int64
}

// Option configures a Store.
type Option func(*Store)

// WithLogger sets the logger for refused peers and reloads; the default is slog.Default.
func WithLogger(l *slog.Logger) Option {
	return func(s *Store) { s.log = process.WithPrefix(l, "keys") }
}

// WithRegisterer registers the metric clementine_link_refused_peers_total{reason} with r, which may be nil.
func WithRegisterer(r prometheus.Registerer) Option {
	return func(s *Store) {
		if r != nil {
			r.MustRegister(s.refusals)
		}
	}
}

// WithClock sets the clock for the validity of certificates and for reloads; the default is time.Now.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// Open loads the certificate and key of an instance and the certificate of the authority from dir. It returns
// *FileError if one of them is missing or cannot be used, and *RefusedError if the certificate of the instance has
// expired, was signed by another authority or belongs to another instance.
func Open(dir string, id instance.ID, options ...Option) (*Store, error) {
	s := &Store{dir: dir, id: id, now: time.Now, log: process.WithPrefix(slog.Default(), "keys"),
		refusalLogLimit: rate.NewLimiter(rate.Every(refusalLogInterval), 1),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "clementine_link_refused_peers_total",
			Help: "Number of connections refused because of the peer's certificate, by reason.",
		}, []string{"reason"})}
	for _, o := range options {
		o(s)
	}
	// The states are read before the files, so that the next check detects a change in between.
	files := s.fileStates()
	creds, err := s.load()
	if err != nil {
		return nil, err
	}
	if err := s.verifyOwn(creds); err != nil {
		return nil, err
	}
	s.credentials, s.files, s.checkedAt = creds, files, s.now()
	return s, nil
}

// paths returns the files of the authority's certificate, the instance's certificate and its key.
func (s *Store) paths() [3]string {
	return [3]string{certPath(s.dir, authorityName), certPath(s.dir, string(s.id)), keyPath(s.dir, string(s.id))}
}

func (s *Store) fileStates() [3]fileState {
	var out [3]fileState
	for i, path := range s.paths() {
		if info, err := os.Stat(path); err == nil {
			out[i] = fileState{mtime: info.ModTime(), size: info.Size()}
		}
	}
	return out
}

func (s *Store) load() (*credentials, error) {
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
	creds := &credentials{cert: cert, roots: x509.NewCertPool(),
		resetKey: sha256.Sum256(append([]byte("stateless reset "), keyDER...))}
	creds.roots.AddCert(ca)
	return creds, nil
}

// verifyOwn checks that the certificate is valid, signed by the authority and that of the instance.
func (s *Store) verifyOwn(creds *credentials) error {
	id, _, err := verifyChain(creds.cert.Leaf, nil, creds.roots, s.now())
	if err != nil {
		return err
	}
	if id != s.id {
		return &RefusedError{Reason: ReasonMalformed, Peer: string(id),
			Detail: "the certificate file must be that of instance " + string(s.id)}
	}
	return nil
}

// current returns the credentials in use, after reloading them if the files have changed. If the new files cannot be
// loaded, for example because only one of two has been replaced yet, the previous credentials stay in use.
func (s *Store) current() *credentials {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if now.Sub(s.checkedAt) < reloadInterval {
		return s.credentials
	}
	s.checkedAt = now
	files := s.fileStates()
	if files == s.files {
		return s.credentials
	}
	creds, err := s.load()
	if err == nil {
		err = s.verifyOwn(creds)
	}
	if err != nil {
		s.log.Warn("changed key files cannot be loaded; the previous certificate stays in use", "error", err)
		return s.credentials
	}
	s.credentials, s.files = creds, files
	s.log.Info("changed key files were loaded", "id", s.id, "expires", creds.cert.Leaf.NotAfter)
	return s.credentials
}

// ID returns the id of the instance.
func (s *Store) ID() instance.ID { return s.id }

// Expires returns the end of validity of the certificate in use.
func (s *Store) Expires() time.Time { return s.current().cert.Leaf.NotAfter }

// ResetKey returns the key for QUIC stateless resets. It is derived from the private key, because it must stay the same
// across restarts.
func (s *Store) ResetKey() [sha256.Size]byte { return s.current().resetKey }

// ServerTLS returns a configuration for accepting connections of peers with one of the given roles.
func (s *Store) ServerTLS(roles ...instance.Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(roles), nil }}
}

func (s *Store) serverConfig(roles []instance.Role) *tls.Config {
	creds := s.current()
	// The certificate is requested rather than required, so that verify is called and counts a missing one.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol},
		Certificates: []tls.Certificate{creds.cert}, ClientAuth: tls.RequestClientCert, SessionTicketsDisabled: true,
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles, netip.Addr{}) }}
}

// ClientTLS returns a configuration for connections to addr. The peer must have one of the given roles and a
// certificate for the address.
func (s *Store) ClientTLS(addr netip.Addr, roles ...instance.Role) *tls.Config {
	creds := s.current()
	// verify replaces the check of crypto/tls, because it also uses authorities that are loaded after this call.
	return &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{alpnProtocol}, InsecureSkipVerify: true,
		ServerName: addr.String(), Certificates: []tls.Certificate{creds.cert},
		VerifyConnection: func(c tls.ConnectionState) error { return s.verify(c, roles, addr.Unmap()) }}
}
