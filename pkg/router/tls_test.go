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

// newCertificates writes a certificate for 127.0.0.1 that is valid on both
// sides of a connection and is its own authority.
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
	own := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, own, own, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	path := write("cert", "CERTIFICATE", der)
	return TLSFiles{Certificate: path, Key: write("key", "EC PRIVATE KEY", keyDER), ClientCA: path}
}

// startControl runs one control host with TLS that holds the test
// configuration, and returns its address.
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
	(&fleet{}).await(t, "control takes the configuration", func() bool {
		out, err := client.Submit(t.Context(), &apiv1.SubmitRequest{CommandId: "00000000-0000-4000-8000-000000000001",
			Changes: configuration(), OperatorName: "op", OperatorKey: operatorKey})
		return err == nil && out.Code == 0
	})
	return l.Addr().String()
}

// Guards against a listener or a client that falls back to plain text, or that
// cannot talk to the other side, once TLS is set for all of them.
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
	f := &fleet{}
	f.await(t, "the routers have the configuration", func() bool { return first.store.Load() != nil && second.store.Load() != nil })
	f.await(t, "the routers are connected", func() bool { return first.exchange.Connected("rt-2") && second.exchange.Connected("rt-1") })

	caConfig, err := files.config()
	assert.NilError(t, err)
	client := func(certificates []tls.Certificate) *http.Client {
		transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: caConfig.ClientCAs, Certificates: certificates}}
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport, Timeout: testPatience}
	}
	bare, known := client(nil), client(caConfig.Certificates)
	server := newRawServer(t, answer200)
	_, announce, _, _ := first.Addresses()
	text, err := json.Marshal(backend.Announcement{Name: "s1", DataCentre: "north", Address: server.addr, Pool: "p", Kind: backend.Service,
		BootID: 1, Slots: 8, State: backend.Ready, Abilities: backend.Abilities{RepeatsID: true}})
	assert.NilError(t, err)
	tell := func(c *http.Client, scheme string) int {
		req, err := http.NewRequest(http.MethodPost, scheme+"://"+announce+"/v1/announce", bytes.NewReader(text))
		assert.NilError(t, err)
		req.Header.Set("Authorization", bearer+serverKey)
		resp, err := c.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	assert.Equal(t, tell(bare, "https"), 0, "an announcement without a certificate")
	assert.Equal(t, tell(bare, "http"), http.StatusBadRequest, "an announcement in plain text")
	f.await(t, "the owner knows the server", func() bool {
		tell(known, "https") // as servers do each second
		owned := append(first.router.Status().Shards, second.router.Status().Shards...)
		return len(owned) == 1 && len(owned[0].Servers) == 1 && owned[0].Servers[0].Usable
	})
	for _, s := range both { // one of them asks the other
		callers, _, _, _ := s.Addresses()
		req := (&fleet{callers: &httptest.Server{URL: "https://" + callers}}).request(t, http.MethodPost, "/services/p/x", "order", "{}")
		resp, err := bare.Do(req)
		assert.NilError(t, err)
		resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}

	// A relay requires the files of peers, also where control takes none.
	_, _, _, relay := first.Addresses()
	config := second.controlConfig(second.router.self)
	config.Addresses, config.DialOptions = []string{"127.0.0.1:1"}, nil
	config.Upstreams = func() []string { return []string{relay} }
	watcher, err := controlclient.New(config)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	store, watched := catalog.NewStore(), make(chan struct{})
	go func() { defer close(watched); _ = watcher.Watch(ctx, store) }()
	t.Cleanup(func() { cancel(); <-watched; watcher.Close() })
	f.await(t, "a relay gives the configuration", func() bool { return store.Load() != nil })
}
