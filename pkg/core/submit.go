package core

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/feed"
	"jackdawtrack.example/jackdawtrack/pkg/fleet"
	"jackdawtrack.example/jackdawtrack/pkg/replica"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	// maxCommandBytes bounds a call between core hosts; the log itself takes
	// commands of up to 2 MiB.
	maxCommandBytes = 8 << 20
	// leaderTimeout bounds one call to the leader. A leader answers within a
	// few syncs; a longer silence means a lost host or connection.
	leaderTimeout = 400 * time.Millisecond
	// leaderWait is the pause before the next attempt.
	leaderWait = 40 * time.Millisecond
)

// SubmitDocument agrees on a version of the configuration. One that is not
// higher than the present one succeeds and changes nothing. Errors carry
// NoQuorum or TooLarge; after NoQuorum the document may still be accepted.
func (h *Host) SubmitDocument(ctx context.Context, version uint64, data []byte) error {
	if h.state.Version() >= version {
		return nil // committed already, so the agreed version is at least as high
	}
	return h.submit(ctx, &apiv1.FleetCommand{Document: &apiv1.FleetDocument{Version: version, Data: data}})
}

// SubmitMark agrees that a data centre is out, or in again. Errors carry
// NoQuorum; the mark may then still be accepted.
func (h *Host) SubmitMark(ctx context.Context, dataCentre string, out bool) error {
	return h.submit(ctx, &apiv1.FleetCommand{Mark: &apiv1.FleetMark{DataCentre: dataCentre, Out: out}})
}

// ReadDocument returns the newest document, confirmed by a majority, nil if
// there is none. Errors carry NoQuorum.
func (h *Host) ReadDocument(ctx context.Context) (*apiv1.FleetDocument, error) {
	var state *apiv1.FleetState
	err := h.retry(ctx, func(ctx context.Context) (err error) {
		state, err = h.readLeader(ctx, true)
		return err
	})
	return state.GetDocument(), err
}

func (h *Host) submit(ctx context.Context, c *apiv1.FleetCommand) error {
	return h.retry(ctx, func(ctx context.Context) error {
		_, err := h.submitOnce(ctx, c)
		return err
	})
}

// retry repeats a call that is safe to repeat until it succeeds, fails for
// good, or ctx ends.
func (h *Host) retry(ctx context.Context, call func(context.Context) error) error {
	for {
		attempt, cancel := context.WithTimeout(ctx, leaderTimeout)
		err := call(attempt)
		cancel()
		if err == nil {
			return nil
		}
		if code, _ := result.CodeOf(err); code == result.TooLarge || code == result.InvalidCommand {
			return err
		}
		select {
		case <-ctx.Done():
			return result.Wrap(result.NoQuorum, err, "the core did not agree in time")
		case <-time.After(leaderWait):
		}
	}
}

// leader returns the client of the leader, nil if this host leads.
func (h *Host) leader() (apiv1.FleetClient, string, error) {
	s := h.replica.Status()
	switch {
	case s.Leader == 0 || s.LeaderAddress == "" && s.Leader != s.ID:
		return nil, "", result.New(result.NoQuorum, "no leader is known")
	case s.Leader == s.ID:
		return nil, "", nil
	}
	c, err := h.callers.get(s.LeaderAddress)
	return c, s.LeaderAddress, err
}

func (h *Host) submitOnce(ctx context.Context, c *apiv1.FleetCommand) (*apiv1.FleetSubmitted, error) {
	client, address, err := h.leader()
	if err != nil {
		return nil, err
	}
	if client == nil {
		return h.Submit(ctx, c)
	}
	out, err := client.Submit(ctx, c)
	h.callers.report(address, err)
	return out, err
}

// readLeader returns the state that the leader holds after a majority has
// confirmed that it leads.
func (h *Host) readLeader(ctx context.Context, withDocument bool) (*apiv1.FleetState, error) {
	client, address, err := h.leader()
	if err != nil {
		return nil, err
	}
	request := &apiv1.FleetReadRequest{WithDocument: withDocument}
	if client == nil {
		return h.Read(ctx, request)
	}
	out, err := client.Read(ctx, request)
	h.callers.report(address, err)
	return out, err
}

// Submit implements apiv1.FleetServer.
func (h *Host) Submit(ctx context.Context, c *apiv1.FleetCommand) (*apiv1.FleetSubmitted, error) {
	data, err := fleet.Encode(c)
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
		return nil, v
	}
	return nil, result.New(result.InvalidCommand, "unexpected answer %T", out)
}

// Read implements apiv1.FleetServer.
func (h *Host) Read(ctx context.Context, in *apiv1.FleetReadRequest) (*apiv1.FleetState, error) {
	if err := h.replica.ReadBarrier(ctx); err != nil {
		return nil, err
	}
	above := ^uint64(0)
	if in.GetWithDocument() {
		above = 0
	}
	state, _ := h.state.View(above)
	return state, nil
}

// Join implements apiv1.FleetServer. A member that does not lead passes the
// request on.
func (h *Host) Join(ctx context.Context, in *apiv1.JoinRequest) (*apiv1.JoinResponse, error) {
	client, address, err := h.leader()
	if err != nil {
		return nil, err
	}
	if client != nil {
		out, err := client.Join(ctx, in)
		h.callers.report(address, err)
		return out, err
	}
	err = h.replica.ChangeMember(ctx, replica.AddLearner, replica.Member{ID: in.GetId(), Address: in.GetAddress()})
	code, _ := result.CodeOf(err)
	if err != nil && code == result.OK {
		return nil, err
	}
	h.log.WithFields(map[string]any{"member": in.GetId(), "address": in.GetAddress(), "error": err}).Info("a core host asked to join")
	return &apiv1.JoinResponse{Code: uint32(code)}, nil
}

// askToJoin asks one core host after the other to add this one.
func (h *Host) askToJoin(ctx context.Context) {
	id, err := ID(h.config.Address)
	if err != nil {
		return // Open has checked the address
	}
	for _, address := range h.feed.Addresses() {
		if address == h.config.Address {
			continue
		}
		client, err := h.callers.get(address)
		if err != nil {
			continue
		}
		call, cancel := context.WithTimeout(ctx, changeTimeout)
		out, err := client.Join(call, &apiv1.JoinRequest{Id: id, Address: h.config.Address})
		cancel()
		h.callers.report(address, err)
		if err == nil && out.GetCode() == uint32(result.OK) {
			h.log.WithField("asked", address).Info("joined the group")
			return
		}
	}
}

// callers holds connections to other core hosts by address.
type callers struct {
	dial  feed.Dial
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func (c *callers) get(address string) (apiv1.FleetClient, error) {
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

// report drops the connection after a failed call: it may be silent for good,
// and the next call then begins with a new one.
func (c *callers) report(address string, err error) {
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

func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	clear(c.conns)
}
