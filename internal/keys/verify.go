package keys

import (
	"crypto/tls"
	"crypto/x509"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/instance"
)

// Identity returns the id and role in the certificate of the peer of an established connection. It returns
// *RefusedError if there is none.
func Identity(c tls.ConnectionState) (instance.ID, instance.Role, error) {
	if len(c.PeerCertificates) == 0 {
		return "", "", &RefusedError{Reason: ReasonMissing, Detail: "the peer sent no certificate"}
	}
	return identity(c.PeerCertificates[0])
}

func identity(cert *x509.Certificate) (instance.ID, instance.Role, error) {
	if len(cert.URIs) != 1 || cert.URIs[0].Scheme != uriScheme {
		return "", "", &RefusedError{Reason: ReasonMalformed, Peer: cert.Subject.CommonName,
			Detail: "the certificate does not hold exactly one identity"}
	}
	u := cert.URIs[0]
	id := strings.TrimPrefix(u.Path, "/")
	if !namePattern.MatchString(id) || !namePattern.MatchString(u.Host) {
		return "", "", &RefusedError{Reason: ReasonMalformed, Peer: u.String(),
			Detail: "the identity is not well-formed"}
	}
	return instance.ID(id), instance.Role(u.Host), nil
}

// verify checks the certificate of the peer of a new connection, and counts and logs a refusal. addr is the address
// that was called. It is the zero Addr on the accepting side, because an instance may call from any of its addresses.
func (s *Store) verify(c tls.ConnectionState, roles []instance.Role, addr netip.Addr) error {
	err := s.verifyPeer(c, roles, addr)
	if err == nil {
		return nil
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		s.refusals.WithLabelValues(string(refused.Reason)).Inc()
	}
	if s.refusalLogLimit.Allow() {
		s.log.Warn("peer was refused", "error", err)
	}
	return err
}

// verifyPeer checks the certificate chain, the role and, if addr is valid, the address of a peer.
func (s *Store) verifyPeer(c tls.ConnectionState, roles []instance.Role, addr netip.Addr) error {
	if len(c.PeerCertificates) == 0 {
		return &RefusedError{Reason: ReasonMissing, Detail: "the peer sent no certificate"}
	}
	leaf := c.PeerCertificates[0]
	_, role, err := verifyChain(leaf, c.PeerCertificates[1:], s.current().roots, s.now())
	if err != nil {
		return err
	}
	if !slices.Contains(roles, role) {
		return &RefusedError{Reason: ReasonRole, Peer: leaf.URIs[0].String(),
			Detail: "the role is not one of those allowed here"}
	}
	if addr.IsValid() && leaf.VerifyHostname(addr.String()) != nil {
		return &RefusedError{Reason: ReasonAddress, Peer: leaf.URIs[0].String(),
			Detail: "the certificate is not for address " + addr.String()}
	}
	return nil
}

// verifyChain verifies the certificate chain of a peer at time now and returns the peer's identity.
func verifyChain(leaf *x509.Certificate, rest []*x509.Certificate, roots *x509.CertPool, now time.Time) (
	instance.ID, instance.Role, error) {
	id, role, err := identity(leaf)
	if err != nil {
		return "", "", err
	}
	intermediates := x509.NewCertPool()
	for _, c := range rest {
		intermediates.AddCert(c)
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates, CurrentTime: now,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err == nil {
		return id, role, nil
	}
	reason := ReasonUntrusted
	var invalid x509.CertificateInvalidError
	if errors.As(err, &invalid) && invalid.Reason == x509.Expired {
		reason = ReasonExpired
	}
	return "", "", &RefusedError{Reason: reason, Peer: leaf.URIs[0].String(), Detail: err.Error()}
}
