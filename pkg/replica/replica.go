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
	proposalQueueSize = 1024
	receiveQueueSize  = 128 // messages, of up to maxMessageBytes each
	// MaxCommandBytes is the maximum size of a command. Larger ones are rejected
	// with TooLarge.
	MaxCommandBytes = 2 << 20
	// maxPendingProposals limits the proposals that are appended but not
	// committed.
	maxPendingProposals = 8192

	maxMessageBytes    = 256 << 10 // entries per append
	maxInflightAppends = 16        // unacknowledged appends per member
)

// Replica is one member of the group. It is safe for concurrent use.
type Replica struct {
	config    Config
	logger    *logrus.Entry
	metrics   *replicaMetrics
	transport *transport

	inbox       chan receivedMessage
	proposals   chan *proposal
	workerCalls chan func() // functions for the worker goroutine to run

	stop     chan struct{}
	stopOnce sync.Once
	done     chan struct{} // closed after the worker goroutine has ended

	mu            sync.Mutex // guards status, statusChanged and err
	status        Status
	statusChanged chan struct{} // closed when status changes
	err           error

	worker worker
}

// Open recovers the data folder and starts the replica. Errors carry
// InvalidSettings, FolderLocked, LogDamaged, DiskFull or SyncFailed.
func Open(c Config, m StateMachine) (*Replica, error) {
	if err := c.setDefaults(); err != nil {
		return nil, err
	}
	log, found, err := wal.Open(c.Folder, wal.Options{FS: c.FS, SegmentBytes: c.SegmentBytes})
	if err != nil {
		return nil, err
	}
	r := &Replica{
		config: c, logger: c.Logger, metrics: newMetrics(c.Registry),
		inbox: make(chan receivedMessage, receiveQueueSize), proposals: make(chan *proposal, proposalQueueSize),
		workerCalls: make(chan func()), stop: make(chan struct{}), done: make(chan struct{}), statusChanged: make(chan struct{}),
	}
	r.transport = newTransport(&r.config, r.metrics)
	if err := r.worker.recoverNode(r, log, found, m); err != nil {
		r.transport.close()
		log.Close()
		return nil, err
	}
	if r.isSingleMemberBootstrap() {
		r.worker.found([]Member{{ID: c.ID, Identity: found.Identity, Address: c.Address}})
	}
	r.worker.publishStatus()
	go r.run()
	r.bootstrap()
	return r, nil
}

// nodeConfig returns the configuration of a Raft node with the durable state d.
func nodeConfig(c *Config, identity uint64, d recovered) raft.Config {
	seed := c.ElectionSeed
	if seed == 0 {
		seed = rand.Uint64()
	}
	return raft.Config{
		ID: c.ID, Identity: identity, ElectionTicks: c.ElectionTicks, HeartbeatTicks: c.HeartbeatTicks,
		MaxMessageBytes: maxMessageBytes, MaxInflightAppends: maxInflightAppends,
		Rand:  rand.New(rand.NewPCG(seed, c.ID)).IntN,
		State: d.state, Snapshot: d.meta, Entries: d.entries,
	}
}

// run is the body of the worker goroutine.
func (r *Replica) run() {
	err := r.worker.runEventLoop()
	r.worker.failWaitingCallers(err)
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

// Done returns a channel that is closed when the replica has stopped. Err then
// returns the reason. After SyncFailed the process must exit.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error that stopped the replica, nil after Close and while
// it runs.
func (r *Replica) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// Close stops the replica and unlocks its data folder. Pending commands return
// NoQuorum and their outcome is unknown.
func (r *Replica) Close() error {
	r.stopOnce.Do(func() { close(r.stop) })
	<-r.done
	return r.Err()
}

// Status returns the latest published status.
func (r *Replica) Status() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// WaitForStatus blocks until ok returns true for the status and returns that status. It
// returns an error with the last status if ctx ends or the replica stops first.
func (r *Replica) WaitForStatus(ctx context.Context, ok func(Status) bool) (Status, error) {
	for {
		r.mu.Lock()
		s, statusChanged := r.status, r.statusChanged
		r.mu.Unlock()
		if ok(s) {
			return s, nil
		}
		select {
		case <-statusChanged:
		case <-ctx.Done():
			return s, ctx.Err()
		case <-r.done:
			return s, errStopping
		}
	}
}

func (r *Replica) setStatus(s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status = s
	close(r.statusChanged)
	r.statusChanged = make(chan struct{})
}

// proposal is a command or membership change that waits to be applied.
type proposal struct {
	command []byte       // nil for a membership change
	term    uint64       // term of its entry
	done    chan outcome // capacity 1
}

// outcome is the result of a proposal or read.
type outcome struct {
	value any
	err   error
}

// Propose replicates a command and returns the value that Apply returned for it.
// Errors carry NotLeader, NoQuorum, DiskFull or TooLarge. After NoQuorum the
// command may still be committed: resend it with the same command id.
func (r *Replica) Propose(ctx context.Context, command []byte) (any, error) {
	if len(command) > MaxCommandBytes {
		return nil, result.New(result.TooLarge, "command size %d bytes, limit %d bytes", len(command), MaxCommandBytes)
	}
	p := &proposal{command: command, done: make(chan outcome, 1)}
	select {
	case r.proposals <- p:
	case <-r.done:
		return nil, errStopping
	case <-ctx.Done():
		return nil, result.Wrap(result.NoQuorum, ctx.Err(), "the command was not accepted in time")
	}
	o := r.awaitOutcome(ctx, p.done, errOutcomeUnknown)
	return o.value, o.err
}

// awaitOutcome waits for the outcome of a proposal or read. If ctx ends or the
// replica stops first, it returns an outcome that is already present, else
// timeoutError of the context's error.
func (r *Replica) awaitOutcome(ctx context.Context, done chan outcome, timeoutError func(error) error) outcome {
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
		return outcome{err: timeoutError(ctx.Err())}
	}
}

// runOnWorker hands f to the worker goroutine. It returns before f has run.
func (r *Replica) runOnWorker(ctx context.Context, f func()) error {
	select {
	case r.workerCalls <- f:
		return nil
	case <-r.done:
		return errStopping
	case <-ctx.Done():
		return result.Wrap(result.NoQuorum, ctx.Err(), "the request was not accepted in time")
	}
}

// ReadBarrier blocks until this host has applied every command that was committed
// before the call, so that a following read is linearizable. Errors carry
// NotLeader or NoQuorum.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	done := make(chan outcome, 1)
	if err := r.runOnWorker(ctx, func() { r.worker.queueReader(done) }); err != nil {
		return err
	}
	return r.awaitOutcome(ctx, done, errReadTimeout).err
}
