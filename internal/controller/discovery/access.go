package discovery

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"strings"
)

// Access holds the credentials and TLS files for a key-value registry. The files are read each time they are needed, so
// that their contents can be replaced while the program runs.
type Access struct {
	User, PasswordFile string
	TokenFile          string
	Method, BearerFile string // auth method and bearer token file for a login at Consul
	TLS                *Files // nil for plain TCP
}

// Files names the files of a TLS client. Without CA, the client trusts the system's certificate authorities. Without
// Cert and Key, it presents no certificate. Name overrides the expected server name.
type Files struct{ CA, Cert, Key, Name string }

// ReadSecret returns the first line of a file without surrounding spaces.
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

// Load reads the files into a TLS configuration. serverName is the expected server name unless Files has one.
func (f Files) Load(serverName string) (*tls.Config, error) {
	if f.Name != "" {
		serverName = f.Name
	}
	conf := &tls.Config{MinVersion: tls.VersionTLS12, ServerName: serverName}
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

// IsCertificateError reports whether either side of a connection rejected the certificate of the other.
func IsCertificateError(err error) bool {
	var verify *tls.CertificateVerificationError
	var alert tls.AlertError
	var unknown x509.UnknownAuthorityError
	if errors.As(err, &verify) || errors.As(err, &alert) || errors.As(err, &unknown) {
		return true
	}
	// gRPC preserves only the text of such errors.
	return err != nil && (strings.Contains(err.Error(), "tls: ") || strings.Contains(err.Error(), "x509: "))
}
