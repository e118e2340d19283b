package router

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"os"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/callers"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
)

// config returns the TLS configuration of a listener, nil if no certificate is
// set.
func (f TLSFiles) config() (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "certificate and key cannot be loaded")
	}
	c := &tls.Config{
		MinVersion:   tls.VersionTLS12,
		Certificates: []tls.Certificate{certificate},
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
	pemBytes, err := os.ReadFile(path)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "client_ca cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pemBytes) {
		return nil, result.New(result.InvalidSettings, "client_ca %s contains no certificate", path)
	}
	return pool, nil
}

// dialOptions returns the credentials for connections to other routers: the
// certificate of this router and the CA that signed theirs. It returns nil if
// no certificate is set.
func (f TLSFiles) dialOptions() ([]grpc.DialOption, error) {
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
		return nil, result.Wrap(result.InvalidSettings, err, "cannot listen on %s", address)
	}
	return l, nil
}

// newServer returns the HTTP server of a listener. It has no write timeout
// because the class of a request decides how long its response may take. Each
// write has its own deadline.
func (c *Config) newServer(h http.Handler, files TLSFiles, errorLog *logrus.Entry) (*http.Server, error) {
	tlsConfig, err := files.config()
	if err != nil {
		return nil, err
	}
	return &http.Server{
		Handler:           h,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: c.Limits.HeaderTimeout.AsDuration(),
		IdleTimeout:       c.Limits.IdleTimeout.AsDuration(),
		MaxHeaderBytes:    c.Limits.HeaderBytes,
		// The router answers no request itself that is for a server.
		DisableGeneralOptionsHandler: true,

		ErrorLog: log.New(errorLog.WriterLevel(logrus.DebugLevel), "", 0),
	}, nil
}

// limitSmallRequests limits the body size and the duration of requests to a
// handler that expects small bodies.
func limitSmallRequests(c *Config, h http.Handler) http.Handler {
	bounded := http.MaxBytesHandler(h, backend.MaxAnnouncementBytes)
	limited := http.TimeoutHandler(bounded, c.Limits.HeaderTimeout.AsDuration(), "")
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		limited.ServeHTTP(w, req)
		callers.SendEarlyRefusal(w, req) // a call that is not refused has no large body
	})
}

// serveListener serves until the server or the listener is closed.
func serveListener(s *http.Server, l net.Listener) error {
	var err error
	if s.TLSConfig != nil {
		err = s.ServeTLS(l, "", "")
	} else {
		err = s.Serve(l)
	}
	if err == http.ErrServerClosed || errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// closeAll closes the resources that were opened before an error.
func closeAll(closers []io.Closer) {
	for _, c := range closers {
		_ = c.Close() // the earlier error is the one to report
	}
}
