package router

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/controlhost"
	"jackdawtrack.example/jackdawtrack/pkg/settings"
	"jackdawtrack.example/jackdawtrack/pkg/workspace"
)

// newCertificates writes a self-signed certificate for 127.0.0.1 that both
// sides of a connection can use.
func newCertificates(t *testing.T) TLSFiles {
	t.Helper()
	folder := t.TempDir()
	write := func(name, kind string, der []byte) string {
		path := filepath.Join(folder, name)
		assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
		return path
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	path := write("cert", "CERTIFICATE", der)
	return TLSFiles{Certificate: path, Key: write("key", "EC PRIVATE KEY", keyDER), ClientCA: path}
}

// startControl runs one control host with TLS and the test configuration. It
// returns the address.
func startControl(t *testing.T, files TLSFiles) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := controlhost.NewSettings()
	s.ID, s.DataFolder, s.Admin = 1, filepath.Join(t.TempDir(), "data"), "127.0.0.1:0"
	s.Listen, s.TLS = settings.Address(l.Addr().String()), controlclient.TLSFiles(files)
	s.Members = []controlhost.Member{{ID: 1, Address: s.Listen}}
	s.FirstOperator = controlhost.FirstOperator{Name: "op", KeyHash: hex.EncodeToString(workspace.HashKey(operatorKey))}
	assert.NilError(t, s.Validate())
	host, err := controlhost.Open(s, controlhost.Options{Listener: l})
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	t.Cleanup(func() { stop(); assert.Check(t, <-ended) })
	dial, err := s.TLS.DialOptions()
	assert.NilError(t, err)
	client, err := controlclient.New(controlclient.Config{Addresses: []string{l.Addr().String()}, DialOptions: dial})
	assert.NilError(t, err)
	defer client.Close()
	(&testRouter{}).waitFor(t, "control has the configuration", func() bool {
		out, err := client.Submit(t.Context(), &apiv1.SubmitRequest{CommandId: "00000000-0000-4000-8000-000000000001",
			Changes: configuration(), OperatorName: "op", OperatorKey: operatorKey})
		return err == nil && out.Code == 0
	})
	return l.Addr().String()
}

// TestFleetRunsOverTLS checks that all listeners and clients use TLS once it is
// configured, and that they can connect to each other.
func TestFleetRunsOverTLS(t *testing.T) {
	t.Parallel()
	files := newCertificates(t)
	control := startControl(t, files)
	start := func(name string, seeds ...settings.Address) *Service {
		return runService(t, name, 0, func(cfg *Config) {
			cfg.Seeds, cfg.Control = seeds, []settings.Address{settings.Address(control)}
			cfg.TLS = TLS{Callers: TLSFiles{Certificate: files.Certificate, Key: files.Key}, Announce: files, Peers: files, Control: true}
			assert.NilError(t, cfg.validateTLS())
		})
	}
	first := start("rt-1")
	second := start("rt-2", settings.Address(first.members.node.Self().GossipAddress))
	both := []*Service{first, second}
	tr := &testRouter{}
	tr.waitFor(t, "the routers have the configuration", func() bool { return first.store.Load() != nil && second.store.Load() != nil })
	tr.waitFor(t, "the routers are connected", func() bool { return first.exchange.Connected("rt-2") && second.exchange.Connected("rt-1") })

	caConfig, err := files.config()
	assert.NilError(t, err)
	client := func(certificates []tls.Certificate) *http.Client {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: caConfig.ClientCAs, Certificates: certificates}}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport, Timeout: testTimeout}
	}
	clientWithoutCert, clientWithCert := client(nil), client(caConfig.Certificates)
	server := newRawServer(t, respondOK)
	_, announce, _, _ := first.Addresses()
	announcement, err := json.Marshal(backend.Announcement{Name: "s1", DataCentre: "north", Address: server.addr, Pool: "p", Kind: backend.Service,
		BootID: 1, Slots: 8, State: backend.Ready, Abilities: backend.Abilities{RepeatsID: true}})
	assert.NilError(t, err)
	postAnnouncement := func(c *http.Client, scheme string) int {
		req, err := http.NewRequest(http.MethodPost, scheme+"://"+announce+"/v1/announce", bytes.NewReader(announcement))
		assert.NilError(t, err)
		req.Header.Set("Authorization", bearerPrefix+serverKey)
		resp, err := c.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, postAnnouncement(clientWithoutCert, "https"), 0, "an announcement without a certificate")
	assert.Equal(t, postAnnouncement(clientWithoutCert, "http"), http.StatusBadRequest, "an announcement in plain text")
	tr.waitFor(t, "the owner knows the server", func() bool {
		postAnnouncement(clientWithCert, "https") // servers repeat their announcement each second
		owned := append(first.router.Status().Shards, second.router.Status().Shards...)
		return len(owned) == 1 && len(owned[0].Servers) == 1 && owned[0].Servers[0].Usable
	})
	for _, s := range both { // one of the routers does not own the shard and asks the other
		callers, _, _, _ := s.Addresses()
		req := (&testRouter{callers: &httptest.Server{URL: "https://" + callers}}).request(t, http.MethodPost, "/services/p/x", "order", "{}")
		resp, err := clientWithoutCert.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}

	// A relay requires the TLS files of peers, even if control does not use
	// TLS.
	_, _, _, relay := first.Addresses()
	config := second.controlConfig(second.router.self)
	config.Addresses, config.DialOptions = []string{"127.0.0.1:1"}, nil
	config.Upstreams = func() []string { return []string{relay} }
	watcher, err := controlclient.New(config)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	store, watchDone := catalog.NewStore(), make(chan struct{})
	go func() { defer close(watchDone); _ = watcher.Watch(ctx, store) }()
	t.Cleanup(func() { cancel(); <-watchDone; watcher.Close() })
	tr.waitFor(t, "the configuration arrives from a relay", func() bool { return store.Load() != nil })
}
