// Package keys issues and loads the certificates by which gateways and schedulers authenticate each other.
//
// A key directory holds the certificate authority (ca.pem, ca-key.pem) and a certificate and key for each instance
// (ID.pem, ID-key.pem). Entry instances need only ca.pem and their own two files. All keys are Ed25519. The identity of
// an instance is the URI clementine://ROLE/ID in its certificate.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/pkg/errors"

	"clementinewalk.example/clementinewalk/internal/instance"
)

const (
	authorityName     = "ca"
	authorityValidity = 10 * 365 * 24 * time.Hour
	// clockSkew is how far the clock of an instance may be behind when it first verifies a new certificate.
	clockSkew  = time.Minute
	serialBits = 127
	uriScheme  = "clementine"

	pemCertificate = "CERTIFICATE"
	pemKey         = "PRIVATE KEY"
	keyFileMode    = 0o600
	certFileMode   = 0o644
	dirMode        = 0o700
)

// namePattern matches instance ids and roles that can be used as file names and as parts of a URI.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// CreateAuthority creates the key and the certificate of a new authority in dir. It returns *ExistsError if there is
// one, because replacing it would invalidate all certificates in use.
func CreateAuthority(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &FileError{Path: dir, Err: err}
	}
	if _, err := os.Stat(keyPath(dir, authorityName)); err == nil {
		return &ExistsError{Path: keyPath(dir, authorityName)}
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	t, err := template("clementine authority", authorityValidity)
	if err != nil {
		return err
	}
	t.IsCA, t.BasicConstraintsValid, t.MaxPathLenZero = true, true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, pub, key)
	if err != nil {
		return errors.WithStack(err)
	}
	return writePair(dir, authorityName, der, key)
}

// Issue creates or replaces the key and the certificate of one instance. ips are the addresses at which peers call the
// instance; an instance that only calls others needs none. The certificate is valid for validity from now on. Issue
// returns *NameError, *ValidityError or *FileError.
func Issue(dir string, id instance.ID, role instance.Role, ips []netip.Addr, validity time.Duration) error {
	if err := checkNames(id, role, validity); err != nil {
		return err
	}
	ca, caKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	pub, key, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return errors.WithStack(err)
	}
	t, err := template(string(id), validity)
	if err != nil {
		return err
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	t.URIs = []*url.URL{{Scheme: uriScheme, Host: string(role), Path: "/" + string(id)}}
	for _, ip := range ips {
		t.IPAddresses = append(t.IPAddresses, net.IP(ip.Unmap().AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, pub, caKey)
	if err != nil {
		return errors.WithStack(err)
	}
	return writePair(dir, string(id), der, key)
}

func checkNames(id instance.ID, role instance.Role, validity time.Duration) error {
	if !namePattern.MatchString(string(id)) || id == authorityName {
		return &NameError{What: "instance id", Value: string(id)}
	}
	if !namePattern.MatchString(string(role)) {
		return &NameError{What: "role", Value: string(role)}
	}
	if validity <= 0 {
		return &ValidityError{Validity: validity}
	}
	return nil
}

// template returns the fields that the certificates of authorities and instances share.
func template(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-clockSkew), NotAfter: now.Add(validity)}, nil
}

func loadAuthority(dir string) (*x509.Certificate, ed25519.PrivateKey, error) {
	der, err := readPEM(certPath(dir, authorityName), pemCertificate)
	if err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, &FileError{Path: certPath(dir, authorityName), Err: err}
	}
	path := keyPath(dir, authorityName)
	if der, err = readPEM(path, pemKey); err != nil {
		return nil, nil, err
	}
	key, err := x509.ParsePKCS8PrivateKey(der)
	if err != nil {
		return nil, nil, &FileError{Path: path, Err: err}
	}
	edKey, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, nil, &FileError{Path: path, Err: &FormatError{Want: "an Ed25519 key"}}
	}
	return cert, edKey, nil
}

// readPEM returns the content of the first PEM block of a file, which must be of type block.
func readPEM(path, block string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{Path: path, Err: err}
	}
	b, _ := pem.Decode(data)
	if b == nil || b.Type != block {
		return nil, &FileError{Path: path, Err: &FormatError{Want: "a PEM block " + block}}
	}
	return b.Bytes, nil
}

// writePair writes the key and then the certificate of name. A Store that reads the files between the two writes keeps
// its previous pair.
func writePair(dir, name string, certDER []byte, key ed25519.PrivateKey) error {
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := replaceFile(keyPath(dir, name), pemKey, keyDER, keyFileMode); err != nil {
		return err
	}
	return replaceFile(certPath(dir, name), pemCertificate, certDER, certFileMode)
}

// replaceFile replaces a file atomically by a rename, so that readers never see an incomplete one.
func replaceFile(path, block string, der []byte, mode os.FileMode) error {
	tmp := path + ".new"
	if err := os.WriteFile(tmp, pem.EncodeToMemory(&pem.Block{Type: block, Bytes: der}), mode); err != nil {
		return &FileError{Path: tmp, Err: err}
	}
	if err := os.Rename(tmp, path); err != nil {
		return &FileError{Path: path, Err: err}
	}
	return nil
}

func certPath(dir, name string) string { return filepath.Join(dir, name+".pem") }

func keyPath(dir, name string) string { return filepath.Join(dir, name+"-key.pem") }
