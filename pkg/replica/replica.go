package replica

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/raft"
	"jackdawtrack.example/jackdawtrack/pkg/result"
	"jackdawtrack.example/jackdawtrack/pkg/wal"
)

const (
	queueProposals = 1024
	queueReceived  = 128 // messages of up to 256 KiB
	// MaxCommandBytes is the largest command; larger ones get TooLarge.
	MaxCommandBytes = 2 << 20
	// maxPending bounds the proposals that wait for a majority.
	maxPending = 8192

	maxMessageBytes = 256 << 10
	maxInflight     = 16
)

// Replica is one member of the group. All methods may be called by any
// goroutine.
type Replica struct {
	config    Config
	logger    *logrus.Entry
	metrics   *replicaMetrics
	transport *transport

	inbox     chan received
	proposals chan *proposal
	calls     chan func() // run by the worker

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{} // closed after the worker has ended

	mu      sync.Mutex // guards status, changed and err
	status  Status
	changed chan struct{} // closed when status changes
	err     error

	worker worker
}

// Open recovers the folder and starts the member. Errors carry
// InvalidSettings, FolderLocked, LogDamaged, DiskFull or SyncFailed.
func Open(c Config, m Machine) (*Replica, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	log, found, err := wal.Open(c.Folder, wal.Options{FS: c.FS, SegmentBytes: c.SegmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, logger: c.Logger, metrics: newMetrics(c.Registry),
		inbox: make(chan received, queueReceived), proposals: make(chan *proposal, queueProposals),
		calls: make(chan func()), stop: make(chan struct{}), done: make(chan struct{}), changed: make(chan struct{}),
	}
	r.transport = newTransport(&r.config, r.metrics)
	if err := r.worker.open(r, log, found, m); err != nil {
		r.transport.close()
		log.Close()
		return nil, err
	}
	if r.isAlone() {
		r.worker.found([]Member{{ID: c.ID, Identity: found.Identity, Address: c.Address}})
	}
	r.worker.publish()
	go r.run()
	r.bootstrap()
	return r, nil
}

func nodeConfig(c *Config, identity uint64, d recovered) raft.Config {
	seed := c.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return raft.Config{
		ID: c.ID, Identity: identity, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		MaxMessageBytes: maxMessageBytes, MaxInflight: maxInflight,
		Rand:  rand.New(rand.NewPCG(seed, c.ID)).IntN,
		State: d.state, Snapshot: d.meta, Entries: d.entries,
	}
}

// run is the worker goroutine.
func (r *Replica) run() {
	err := r.worker.loop()
	r.worker.failAll(err)
	r.transport.close()
	if closeErr := r.worker.log.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		r.logger.WithError(err).Error("the replica stopped")
	}
	r.mu.Lock()
	r.err = err
	r.mu.Unlock()
	close(r.done)
}

// Done is closed when the replica has stopped; Err then tells why. After
// SyncFailed the process must end.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica, nil after Close and while
// it runs.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Close stops the member and releases its folder. Commands that wait get
// NoQuorum: their fate is unknown.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.Err()
}

// Status describes this host and its view of the group.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// Wait returns the first status for which ok is true. It returns early with
// the last status when the context ends or the replica stops.
func (r *Replica) Wait(ctx context.Context, ok func(Status) bool) (Status, error) {
	for {
		r.mu.Lock()
		s, changed := r.status, r.changed
		r.mu.Unlock()
		if ok(s) {
			return s, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return s, ctx.Err()
		case <-r.done:
			return s, errClosed
		}
	}
}

func (r *Replica) setStatus(s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
	close(r.changed)
	r.changed = make(chan struct{})
}

// proposal waits for the entry of a command or membership change.
type proposal struct {
	command []byte
	term    uint64
	done    chan outcome // capacity 1
}

type outcome struct {
	value any
	err   error
}

// Propose replicates a command and returns what Apply returned for it. Errors
// carry NotLeader, NoQuorum, DiskFull or TooLarge. After NoQuorum the command may
// still be committed: resend it with the same command id.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, result.New(result.TooLarge, "command has %d bytes, at most %d are allowed", len(command), MaxCommandBytes)
	}
	p := &proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-r.done:
		return nil, errClosed
	case <-ctx.Done():
		return nil, result.Wrap(result.NoQuorum, ctx.Err(), "the command was not accepted in time")
	}
	o := r.await(ctx, p.done, errUnknown)
	return o.value, o.err
}

// await prefers an outcome that is present over the end of the context.
func (r *Replica) await(ctx context.Context, done chan outcome, late func(error) error) outcome {
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
	case <-r.done:
	}
	select {
	case o := <-done:
		return o
	default:
		return outcome{err: late(ctx.Err())}
	}
}

// call runs f on the worker.
func (r *Replica) call(ctx context.Context, f func()) error {
	select {
	case r.calls <- f:
		return nil
	case <-r.done:
		return errClosed
	case <-ctx.Done():
		return result.Wrap(result.NoQuorum, ctx.Err(), "the call was not accepted in time")
	}
}

// ReadBarrier returns after this host has applied every command that was
// committed before the call. Errors carry NotLeader or NoQuorum.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.call(ctx, func() { r.worker.addReader(done) }); err != nil {
		return err
	}
	return r.await(ctx, done, errReadLate).err
}
