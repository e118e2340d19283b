package controlclient

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// TLSFiles are the PEM files for mutual TLS between the fleet's processes. All
// three are set, or none: a fleet has one certificate authority, and each side
// verifies the certificate of the other.
type TLSFiles struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	ClientCA    string `yaml:"client_ca"`
}

// Enabled reports whether any file is set.
func (f TLSFiles) Enabled() bool { return f != TLSFiles{} }

// Validate returns an InvalidSettings error if only some of the files are set.
func (f TLSFiles) Validate() error {
	if f.Enabled() && (f.Certificate == "" || f.Key == "" || f.ClientCA == "") {
		return result.New(result.InvalidSettings, "tls: certificate, key and client_ca must be set together")
	}
	return nil
}

// loadCertificates reads the key pair and the certificate authority.
func (f TLSFiles) loadCertificates() (tls.Certificate, *x509.CertPool, error) {
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return tls.Certificate{}, nil, result.Wrap(result.InvalidSettings, err, "tls: certificate or key")
	}
	text, err := os.ReadFile(f.ClientCA)
	if err != nil {
		return tls.Certificate{}, nil, result.Wrap(result.InvalidSettings, err, "tls: client_ca")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return tls.Certificate{}, nil, result.New(result.InvalidSettings, "tls: client_ca %s contains no certificate", f.ClientCA)
	}
	return certificate, pool, nil
}

// DialOptions returns the TLS options of a client, none if TLS is off.
func (f TLSFiles) DialOptions() ([]grpc.DialOption, error) {
	if !f.Enabled() {
		return nil, nil
	}
	certificate, pool, err := f.loadCertificates()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	return []grpc.DialOption{grpc.WithTransportCredentials(credentials.NewTLS(config))}, nil
}

// ServerOptions returns the TLS options of a server that requires a client
// certificate, none if TLS is off.
func (f TLSFiles) ServerOptions() ([]grpc.ServerOption, error) {
	if !f.Enabled() {
		return nil, nil
	}
	certificate, pool, err := f.loadCertificates()
	if err != nil {
		return nil, err
	}
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate}, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(config))}, nil
}
