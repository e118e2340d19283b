package controlhost

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/control"
	"jackdawtrack.example/jackdawtrack/pkg/controlclient"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// drainTimeout limits the wait for open calls in a graceful shutdown.
	drainTimeout      = 5 * time.Second
	drainPollInterval = 20 * time.Millisecond

	adminReadTimeout    = 5 * time.Second
	adminWriteTimeout   = 10 * time.Second
	adminMaxHeaderBytes = 16 << 10
)

// Host is a running control host.
type Host struct {
	settings *Settings
	registry metrics.Registry
	log      *logrus.Entry
	listen   net.Listener
	admin    net.Listener

	state        *control.ReplicatedState
	replica      *replica.Replica
	server       *control.Server
	grpc         *grpc.Server
	openCalls    atomic.Int64 // unary calls in progress
	shuttingDown atomic.Bool
}

// Options let tests replace parts of a host.
type Options struct {
	Listener         net.Listener // opened at Settings.Listen if nil
	Admin            net.Listener // opened at Settings.Admin if nil
	ConfigureReplica func(*replica.Config)
	Log              func(control.Log) control.Log
}

// Open opens the listeners and recovers the data folder. Nothing is served
// before Run.
func Open(s *Settings, o Options) (*Host, error) {
	h := &Host{settings: s, registry: metrics.NewRegistry(), log: logging.ForComponent("control"), state: control.NewReplicatedState()}
	var err error
	if h.listen, err = listen(o.Listener, string(s.Listen)); err != nil {
		return nil, err
	}
	if h.admin, err = listen(o.Admin, string(s.Admin)); err == nil {
		err = h.openServers(o)
	}
	if err != nil {
		_ = h.listen.Close()
		if h.admin != nil {
			_ = h.admin.Close()
		}
		return nil, err
	}
	return h, nil
}

func listen(given net.Listener, address string) (net.Listener, error) {
	if given != nil {
		return given, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, result.Wrap(result.InvalidSettings, err, "cannot listen on address %s", address)
	}
	return l, nil
}

func (h *Host) openServers(o Options) error {
	s := h.settings
	dialOptions, err := s.TLS.DialOptions()
	if err != nil {
		return err
	}
	serverOptions, err := s.TLS.ServerOptions()
	if err != nil {
		return err
	}
	config := replica.Config{
		ID: s.ID, Folder: s.DataFolder, Address: string(s.Advertise),
		DialOptions: dialOptions, Registry: h.registry,
	}
	for _, m := range s.Members {
		config.Bootstrap = append(config.Bootstrap, replica.Member{ID: m.ID, Address: string(m.Address)})
	}
	if o.ConfigureReplica != nil {
		o.ConfigureReplica(&config)
	}
	if h.replica, err = replica.Open(config, h.state); err != nil {
		return err
	}
	var log control.Log = replicaLog{h.replica}
	if o.Log != nil {
		log = o.Log(log)
	}
	h.server = control.NewServer(control.Config{FirstOperator: s.FirstOperator.catalogOperator(), Registry: h.registry}, log, h.state)
	serverOptions = append(serverOptions, controlclient.ServerOptions()...)
	h.grpc = grpc.NewServer(append(serverOptions, grpc.UnaryInterceptor(h.trackCall))...)
	apiv1.RegisterControlServer(h.grpc, h.server)
	h.replica.Register(h.grpc)
	return nil
}

// trackCall counts open calls, so that a shutdown can wait for them, and
// rejects new calls during a shutdown.
func (h *Host) trackCall(ctx context.Context, in any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	h.openCalls.Add(1)
	defer h.openCalls.Add(-1)
	if h.shuttingDown.Load() {
		return nil, h.server.ShuttingDown(ctx)
	}
	return next(ctx, in)
}

// Run serves until ctx ends or a server fails, then shuts down gracefully: open
// calls finish, watch streams end. It returns nil after a graceful shutdown,
// else the errors of the replica and the servers.
func (h *Host) Run(ctx context.Context) error {
	h.logSettings()
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	servers, groupCtx := errgroup.WithContext(runCtx)
	admin := h.adminServer()
	servers.Go(func() error {
		// A shutdown before Serve is graceful as well.
		if err := h.grpc.Serve(h.listen); !errors.Is(err, grpc.ErrServerStopped) {
			return err
		}
		return nil
	})
	servers.Go(func() error {
		if err := admin.Serve(h.admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	servers.Go(func() error { h.server.Run(groupCtx); return nil })
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	case <-h.replica.Done():
	}
	replicaErr := h.replica.Err()
	h.drain()
	err := h.replica.Close()
	h.grpc.Stop()
	_ = admin.Close()
	stop()
	return errors.Join(replicaErr, err, servers.Wait())
}

func (h *Host) logSettings() {
	h.log.Infof("control host %d: serving on %s, admin on %s, data folder %s", h.settings.ID, h.listen.Addr(), h.admin.Addr(), h.settings.DataFolder)
	address, err := netip.ParseAddrPort(h.listen.Addr().String())
	if err == nil && !address.Addr().IsLoopback() && !h.settings.TLS.Enabled() {
		h.log.Warnf("%s is not a loopback address and TLS is off: anyone who reaches it can read the configuration", address)
	}
}

// drain ends watch streams and waits up to drainTimeout for open calls.
func (h *Host) drain() {
	h.shuttingDown.Store(true)
	h.server.Stop()
	timeout := time.After(drainTimeout)
	poll := time.NewTicker(drainPollInterval)
	defer poll.Stop()
	for h.openCalls.Load() > 0 {
		select {
		case <-timeout:
			h.log.Warnf("%d calls are still open after %s", h.openCalls.Load(), drainTimeout)
			return
		case <-poll.C:
		}
	}
}
