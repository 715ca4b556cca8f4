package discovery

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Access is how a key-value registry lets us in. Files are read anew each time they are needed, so that what
// they hold can be replaced while the program runs.
type Access struct {
	User, PasswordFile string
	TokenFile          string
	Method, BearerFile string // Consul's log-in
	TLS                *Files // nil: plain TCP
}

// Files are those of TLS. CA is empty for the system's; Cert and Key are empty where we show none.
type Files struct{ CA, Cert, Key, Name string }

// ReadSecret reads a file's first line.
func ReadSecret(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	line, _, _ := strings.Cut(string(text), "\n")
	if line = strings.TrimSpace(line); line == "" {
		return "", fmt.Errorf("%s: empty", path)
	}
	return line, nil
}

// Load reads the files; name is the server's where none is given.
func (f Files) Load(name string) (*tls.Config, error) {
	if f.Name != "" {
		name = f.Name
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: name}
	if f.CA != "" {
		text, err := os.ReadFile(f.CA)
		if err != nil {
			return nil, err
		}
		if conf.RootCAs = x509.NewCertPool(); !conf.RootCAs.AppendCertsFromPEM(text) {
			return nil, fmt.Errorf("%s: no certificate in PEM form", f.CA)
		}
	}
	if f.Cert != "" || f.Key != "" {
		pair, err := tls.LoadX509KeyPair(f.Cert, f.Key)
		if err != nil {
			return nil, fmt.Errorf("%s, %s: %w", f.Cert, f.Key, err)
		}
		conf.Certificates = []tls.Certificate{pair}
	}
	return conf, nil
}

// IsCertificateError says whether an error is that of a certificate: ours, or the other side's.
func IsCertificateError(err error) bool {
	var verify *tls.CertificateVerificationError
	var alert tls.AlertError
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &verify) || errors.As(err, &alert) || errors.As(err, &unknown) {
		return true
	}
	// gRPC hands on texts only.
	return err != nil && (strings.Contains(err.Error(), "tls: ") || strings.Contains(err.Error(), "x509: "))
}
