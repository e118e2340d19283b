package router

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"log"
	"net"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// config returns the TLS configuration of a listener, nil without files.
func (f TLSFiles) config() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "TLS files cannot be loaded")
	}
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{pair},
		NextProtos:   []string{"h2", "http/1.1"},
	}
	if f.ClientCA == "" {
		return c, nil
	}
	pool, err := loadCA(f.ClientCA)
	if err != nil {
		return nil, err
	}
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}

func loadCA(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "client_ca cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, result.New(result.InvalidSettings, "%s holds no certificate", path)
	}
	return pool, nil
}

// peerDial returns the credentials with which a router calls other routers: its
// own certificate, and the CA that has signed theirs.
func (f TLSFiles) peerDial() ([]grpc.DialOption, error) {
	c, err := f.config()
	if c == nil || err != nil {
		return nil, err
	}
	client := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: c.Certificates, RootCAs: c.ClientCAs}
	return []grpc.DialOption{grpc.WithTransportCredentials(credentials.NewTLS(client))}, nil
}

// listen opens a TCP listener.
func listen(address settings.Address) (net.Listener, error) {
	l, err := net.Listen("tcp", string(address))
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "address %s cannot be opened", address)
	}
	return l, nil
}

// newServer returns the HTTP server of one listener. It has no write timeout,
// because answers may take as long as their class allows; each piece has a
// deadline of its own.
func (c *Config) newServer(h http.Handler, files TLSFiles, errors *logrus.Entry) (*http.Server, error) {
	tlsConfig, err := files.config()
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: c.Limits.HeaderTimeout.Std(),
		IdleTimeout:       c.Limits.IdleTimeout.Std(),
		MaxHeaderBytes:    c.Limits.HeaderBytes,
		ErrorLog:          log.New(errors.WriterLevel(logrus.DebugLevel), "", 0),
	}, nil
}

// limitBody bounds the body and the time of requests that are small.
func limitBody(c *Config, h http.Handler) http.Handler {
	bounded := http.MaxBytesHandler(h, backend.MaxAnnouncementBytes)
	return http.TimeoutHandler(bounded, c.Limits.HeaderTimeout.Std(), "")
}

func serve(s *http.Server, l net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// closeAll closes what was opened before a later step failed.
func closeAll(list []io.Closer) {
	for _, c := range list {
		_ = c.Close() // the first error is reported
	}
}
