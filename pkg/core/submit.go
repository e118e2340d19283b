package core

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// maxCommandBytes bounds a message between core hosts. The log accepts
	// commands of up to 2 MiB.
	maxCommandBytes = 8 << 20
	// leaderCallTimeout bounds one call to the leader. A leader responds within a
	// few disk syncs; a longer delay means a lost host or connection.
	leaderCallTimeout = 400 * time.Millisecond
	// leaderRetryDelay is the delay between two attempts of a call.
	leaderRetryDelay = 40 * time.Millisecond
)

// SubmitDocument commits a version of the configuration. A version that is not
// higher than the committed one succeeds and changes nothing. It returns TooLarge, or
// NoQuorum if ctx ends first; the document may then still be committed. The caller must
// not modify the document.
func (h *Host) SubmitDocument(ctx context.Context, d *apiv1.FleetDocument) error {
	if h.state.Version() >= d.GetVersion() {
		return nil // a version at least as high is already committed
	}
	return h.submit(ctx, &apiv1.FleetCommand{Document: d})
}

// SubmitDataCentreMark commits a mark that takes a data centre out of service, or back in.
// isCurrent reports whether the order may still be the newest one of its sender. It returns
// RevisionConflict if another order may have been acknowledged since, and NoQuorum if ctx ends
// first; the mark may then still be committed, but not over a later order.
//
// The mark names what was known of the marks before isCurrent was asked. So orders that are sent
// later have higher log indexes, and whatever host, queue or retry delays this one, it is not
// applied over them.
func (h *Host) SubmitDataCentreMark(ctx context.Context, dataCentre string, out bool, isCurrent func() bool) error {
	var unknown uint64
	err := h.retry(ctx, func(ctx context.Context) error {
		state, err := h.readFromLeader(ctx, false)
		unknown = state.GetRevision() + 1
		return err
	})
	if err != nil {
		return err
	}
	if !isCurrent() {
		return errStaleOrder
	}
	return h.submit(ctx, &apiv1.FleetCommand{Mark: &apiv1.FleetMark{DataCentre: dataCentre, Out: out, Revision: unknown}})
}

var errStaleOrder = result.New(result.RevisionConflict, "another order may have been acknowledged meanwhile")

// ReadDocument returns the latest committed document, nil if there is none. It is a
// linearizable read, confirmed by a majority. It returns NoQuorum if ctx ends first.
func (h *Host) ReadDocument(ctx context.Context) (*apiv1.FleetDocument, error) {
	var state *apiv1.FleetState
	err := h.retry(ctx, func(ctx context.Context) (err error) {
		state, err = h.readFromLeader(ctx, true)
		return err
	})
	return state.GetDocument(), err
}

// submit commits a command through the leader, with retries.
func (h *Host) submit(ctx context.Context, c *apiv1.FleetCommand) error {
	return h.retry(ctx, func(ctx context.Context) error {
		_, err := h.submitOnce(ctx, c)
		return err
	})
}

// retry repeats an idempotent call until it succeeds, fails with TooLarge, InvalidCommand or
// RevisionConflict, or ctx ends.
func (h *Host) retry(ctx context.Context, call func(context.Context) error) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, leaderCallTimeout)
		err := call(attempt)
		cancel()
		if err == nil {
			return nil
		}
		if code, _ := result.CodeOf(err); code == result.TooLarge || code == result.InvalidCommand || code == result.RevisionConflict {
			return err
		}
		select {
		case <-ctx.Done():
			return result.Wrap(result.NoQuorum, err, "the core hosts reached no quorum in time")
		case <-time.After(leaderRetryDelay):
		}
	}
}

// leaderClient returns a client for the leader and its address, nil if this host is
// the leader. It returns NoQuorum if no leader is known.
func (h *Host) leaderClient() (apiv1.FleetClient, string, error) {
	s := h.replica.Status()
	switch {
	case s.Leader == 0 || s.LeaderAddress == "" && s.Leader != s.ID:
		return nil, "", result.New(result.NoQuorum, "no leader is known")
	case s.Leader == s.ID:
		return nil, "", nil
	}
	c, err := h.clients.get(s.LeaderAddress)
	return c, s.LeaderAddress, err
}

// submitOnce submits a command to the leader.
func (h *Host) submitOnce(ctx context.Context, c *apiv1.FleetCommand) (*apiv1.FleetSubmitted, error) {
	client, address, err := h.leaderClient()
	if err != nil {
		return nil, err
	}
	var out *apiv1.FleetSubmitted
	if client == nil {
		out, err = h.Submit(ctx, c)
	} else {
		out, err = client.Submit(ctx, c)
	}
	if status.Code(err) == codes.Aborted {
		return nil, result.New(result.RevisionConflict, "%s", status.Convert(err).Message())
	}
	if client != nil {
		h.clients.dropOnError(address, err)
	}
	return out, err
}

// readFromLeader returns the state of the leader after a majority has confirmed
// its leadership.
func (h *Host) readFromLeader(ctx context.Context, withDocument bool) (*apiv1.FleetState, error) {
	client, address, err := h.leaderClient()
	if err != nil {
		return nil, err
	}
	request := &apiv1.FleetReadRequest{WithDocument: withDocument}
	if client == nil {
		return h.Read(ctx, request)
	}
	out, err := client.Read(ctx, request)
	h.clients.dropOnError(address, err)
	return out, err
}

// Submit implements apiv1.FleetServer. It proposes the command to the replica.
func (h *Host) Submit(ctx context.Context, c *apiv1.FleetCommand) (*apiv1.FleetSubmitted, error) {
	data, err := fleet.EncodeCommand(c)
	if err != nil {
		return nil, result.Wrap(result.InvalidCommand, err, "the command cannot be encoded")
	}
	out, err := h.replica.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	switch v := out.(type) {
	case *apiv1.FleetSubmitted:
		return v, nil
	case error:
		if code, _ := result.CodeOf(v); code == result.RevisionConflict {
			return nil, status.Error(codes.Aborted, v.Error()) // the caller may be another host
		}
		return nil, v
	}
	return nil, result.New(result.InvalidCommand, "unexpected result type %T", out)
}

// Read implements apiv1.FleetServer. It returns the state after a read barrier.
func (h *Host) Read(ctx context.Context, in *apiv1.FleetReadRequest) (*apiv1.FleetState, error) {
	if err := h.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	aboveVersion := ^uint64(0)
	if in.GetWithDocument() {
		aboveVersion = 0
	}
	state, _ := h.state.View(aboveVersion)
	return state, nil
}

// Join implements apiv1.FleetServer. The leader adds the host as a learner; another
// member forwards the request to the leader.
func (h *Host) Join(ctx context.Context, in *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	client, address, err := h.leaderClient()
	if err != nil {
		return nil, err
	}
	if client != nil {
		out, err := client.Join(ctx, in)
		h.clients.dropOnError(address, err)
		return out, err
	}
	err = h.replica.ChangeMember(ctx, replica.AddLearner, replica.Member{ID: in.GetId(), Address: in.GetAddress()})
	code, _ := result.CodeOf(err)
	if err != nil && code == result.OK {
		return nil, err
	}
	h.log.WithFields(map[string]any{"member": in.GetId(), "address": in.GetAddress(), "error": err}).Info("core host requested to join")
	return &apiv1.JoinResponse{Code: uint32(code)}, nil
}

// requestJoin asks the known core hosts in turn to add this one.
func (h *Host) requestJoin(ctx context.Context) {
	id, err := ID(h.config.Address)
	if err != nil {
		return // cannot happen: Open has checked the address
	}
	for _, address := range h.feed.CoreAddresses() {
		if address == h.config.Address {
			continue
		}
		client, err := h.clients.get(address)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, memberChangeTimeout)
		out, err := client.Join(call, &apiv1.JoinRequest{Id: id, Address: h.config.Address})
		cancel()
		h.clients.dropOnError(address, err)
		if err == nil && out.GetCode() == uint32(result.OK) {
			h.log.WithField("asked", address).Info("joined the core group")
			return
		}
	}
}

// clients holds the gRPC connections to other core hosts, by address.
type clients struct {
	dial  feed.Dial
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// get returns a client for an address and connects if needed.
func (c *clients) get(address string) (apiv1.FleetClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		return apiv1.NewFleetClient(conn), nil
	}
	conn, err := feed.Connect(address, c.dial)
	if err != nil {
		return nil, err
	}
	if c.conns == nil {
		c.conns = map[string]*grpc.ClientConn{}
	}
	c.conns[address] = conn
	return apiv1.NewFleetClient(conn), nil
}

// dropOnError closes the connection after a failed call, because it may have
// stopped delivering for good. The next call opens a new one.
func (c *clients) dropOnError(address string, err error) {
	if err == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		delete(c.conns, address)
		go conn.Close()
	}
}

func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}
