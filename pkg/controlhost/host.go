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
	// drainLimit bounds the wait for open calls at a graceful shutdown.
	drainLimit = 5 * time.Second
	drainPoll  = 20 * time.Millisecond

	adminReadTimeout  = 5 * time.Second
	adminWriteTimeout = 10 * time.Second
	adminHeaderBytes  = 16 << 10
)

// Host is one running control host.
type Host struct {
	settings *Settings
	registry metrics.Registry
	log      *logrus.Entry
	listen   net.Listener
	admin    net.Listener

	state   *control.State
	replica *replica.Replica
	server  *control.Server
	grpc    *grpc.Server
	open    atomic.Int64 // calls in progress, without streams
	closing atomic.Bool
}

// Options replace parts of a host in tests.
type Options struct {
	Listener net.Listener // opened at Settings.Listen if nil
	Admin    net.Listener // opened at Settings.Admin if nil
	Replica  func(*replica.Config)
	Log      func(control.Log) control.Log
}

// Open opens the listeners and recovers the data folder. It serves nothing
// before Run.
func Open(s *Settings, o Options) (*Host, error) {
	h := &Host{settings: s, registry: metrics.NewRegistry(), log: logging.For("control"), state: control.NewState()}
	var err error
	if h.listen, err = listen(o.Listener, string(s.Listen)); err != nil {
		return nil, err
	}
	if h.admin, err = listen(o.Admin, string(s.Admin)); err == nil {
		err = h.assemble(o)
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
		return nil, result.Wrap(result.InvalidSettings, err, "address %s cannot be opened", address)
	}
	return l, nil
}

func (h *Host) assemble(o Options) error {
	s := h.settings
	dial, err := s.TLS.DialOptions()
	if err != nil {
		return err
	}
	serve, err := s.TLS.ServerOptions()
	if err != nil {
		return err
	}
	config := replica.Config{
		ID: s.ID, Folder: s.DataFolder, Address: string(s.Advertise),
		DialOptions: dial, Registry: h.registry,
	}
	for _, m := range s.Members {
		config.Bootstrap = append(config.Bootstrap, replica.Member{ID: m.ID, Address: string(m.Address)})
	}
	if o.Replica != nil {
		o.Replica(&config)
	}
	if h.replica, err = replica.Open(config, h.state); err != nil {
		return err
	}
	var log control.Log = replicaLog{h.replica}
	if o.Log != nil {
		log = o.Log(log)
	}
	h.server = control.NewServer(control.Config{FirstOperator: s.FirstOperator.operator(), Registry: h.registry}, log, h.state)
	serve = append(serve, controlclient.ServerOptions()...)
	h.grpc = grpc.NewServer(append(serve, grpc.UnaryInterceptor(h.count))...)
	apiv1.RegisterControlServer(h.grpc, h.server)
	h.replica.Register(h.grpc)
	return nil
}

// count lets a shutdown wait for open calls and refuses new ones meanwhile.
func (h *Host) count(ctx context.Context, in any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	h.open.Add(1)
	defer h.open.Add(-1)
	if h.closing.Load() {
		return nil, h.server.ShuttingDown(ctx)
	}
	return next(ctx, in)
}

// Run serves until ctx ends and then shuts down gracefully: open calls are
// answered, watch streams end. It returns nil after a graceful shutdown, else
// the fault.
func (h *Host) Run(ctx context.Context) error {
	h.announceSettings()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, failed := errgroup.WithContext(work)
	admin := h.adminServer()
	group.Go(func() error {
		// A shutdown that comes before Serve began is graceful as well.
		if err := h.grpc.Serve(h.listen); !errors.Is(err, grpc.ErrServerStopped) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		if err := admin.Serve(h.admin); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error { h.server.Run(failed); return nil })
	select {
	case <-ctx.Done():
	case <-failed.Done():
	case <-h.replica.Done():
	}
	fault := h.replica.Err()
	h.drain()
	err := h.replica.Close()
	h.grpc.Stop()
	_ = admin.Close()
	stop()
	return errors.Join(fault, err, group.Wait())
}

func (h *Host) announceSettings() {
	h.log.Infof("control host %d serves %s, operators' admin %s, data folder %s", h.settings.ID, h.listen.Addr(), h.admin.Addr(), h.settings.DataFolder)
	address, err := netip.ParseAddrPort(h.listen.Addr().String())
	if err == nil && !address.Addr().IsLoopback() && !h.settings.TLS.Enabled() {
		h.log.Warnf("%s is not a loopback address and TLS is off: anyone who reaches it can read the configuration", address)
	}
}

// drain ends watch streams and waits for open calls.
func (h *Host) drain() {
	h.closing.Store(true)
	h.server.Stop()
	limit := time.After(drainLimit)
	poll := time.NewTicker(drainPoll)
	defer poll.Stop()
	for h.open.Load() > 0 {
		select {
		case <-limit:
			h.log.Warnf("%d calls are still open after %s", h.open.Load(), drainLimit)
			return
		case <-poll.C:
		}
	}
}
