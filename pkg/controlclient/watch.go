package controlclient

import (
	"context"
	"errors"
	"slices"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
)

const (
	// HeartbeatTimeout is the time without an event after which a watch stream
	// is replaced.
	HeartbeatTimeout = 3 * catalog.HeartbeatInterval
	// firstEventTimeout allows for a full snapshot over a slow link.
	firstEventTimeout = 10 * time.Second
	// MaxUnconfirmedTime is the time without a confirmed event after which
	// Watch tries another source. A partitioned control host keeps sending
	// heartbeats, but none of them is confirmed.
	MaxUnconfirmedTime = 5 * time.Second
	// maxFallbackTime limits the use of a control host while Upstreams returns
	// relays, so that routers return to their relays.
	maxFallbackTime = time.Minute
	// stableStreamAge is the age of a stream after which Watch starts again
	// with the preferred source and the shortest backoff.
	stableStreamAge = 5 * time.Second

	watchBackoffMin = 50 * time.Millisecond
	watchBackoffMax = 2 * time.Second
)

var (
	errStreamTimeout   = errors.New("no event within the timeout")
	errNotConfirmed    = errors.New("configuration not confirmed by a majority")
	errRevisionGap     = errors.New("stream skipped a revision")
	errPreferredSource = errors.New("another source is preferred")
)

// Watch keeps the store up to date until ctx ends, and returns its error. It
// replaces a stream that breaks, that exceeds its timeout or that is no longer
// confirmed by a majority. An empty store accepts its first configuration only
// from a confirmed event, because an older one would revert what the router
// applied before its restart.
func (c *Client) Watch(ctx context.Context, store *catalog.Store) error {
	backoff := watchBackoffMin
	for i := 0; ; i++ {
		sources, relayCount := c.sources()
		index := i % len(sources)
		startedAt := time.Now()
		err := c.watchSource(ctx, sources[index], index < relayCount, store)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.config.Logger.Infof("watch of %s ended: %v", sources[index], err)
		if errors.Is(err, errPreferredSource) || (time.Since(startedAt) > stableStreamAge && !errors.Is(err, errNotConfirmed)) {
			i, backoff = -1, watchBackoffMin
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(backoff):
		}
		if index == len(sources)-1 {
			backoff = min(2*backoff, watchBackoffMax)
		}
	}
}

// ConfirmedWithin reports whether a majority of the control hosts confirmed the
// configuration within the given time. Relays pass on the confirmation.
func (c *Client) ConfirmedWithin(within time.Duration) bool {
	return time.Since(time.Unix(0, c.confirmedAt.Load())) <= within
}

// sources returns the addresses to watch in order of preference, and how many
// of them are relays.
func (c *Client) sources() ([]string, int) {
	var relays []string
	if c.config.Upstreams != nil {
		relays = c.config.Upstreams()
	}
	out := slices.Clone(relays)
	for i := range c.config.Addresses {
		out = append(out, c.config.Addresses[(c.firstIndex+i)%len(c.config.Addresses)])
	}
	return out, len(relays)
}

// watchSource opens one stream and applies its events. It uses a new
// connection, because the previous one may be unresponsive.
func (c *Client) watchSource(ctx context.Context, address string, isRelay bool, store *catalog.Store) error {
	options := c.config.DialOptions
	if isRelay && c.config.RelayDialOptions != nil {
		options = c.config.RelayDialOptions
	}
	conn, err := Dial(address, options...)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := apiv1.NewControlClient(conn).Watch(ctx, &apiv1.WatchRequest{
		AfterRevision: store.Revision(), Router: c.config.Router, DataCentre: c.config.DataCentre,
	})
	if err != nil {
		return err
	}
	eventTimeout := time.AfterFunc(firstEventTimeout, func() { cancel(errStreamTimeout) })
	defer eventTimeout.Stop()
	startedAt, lastConfirmed := time.Now(), time.Now()
	for {
		event, err := stream.Recv()
		if err != nil {
			return streamError(ctx, err)
		}
		eventTimeout.Reset(HeartbeatTimeout)
		if event.GetConfirmed() {
			lastConfirmed = time.Now()
			c.confirmedAt.Store(lastConfirmed.UnixNano())
		}
		if err := applyEvent(store, event); err != nil {
			return err
		}
		if err := c.checkSource(address, isRelay, startedAt, lastConfirmed); err != nil {
			return err
		}
	}
}

// applyEvent updates the store to the revision of the event.
func applyEvent(store *catalog.Store, event *apiv1.WatchEvent) error {
	switch {
	case store.Load() == nil && !event.GetConfirmed():
		return errNotConfirmed
	case event.GetSnapshot():
		store.ApplySnapshot(event.GetRevision(), event.GetChanges())
	case len(event.GetChanges()) > 0:
		store.ApplyDelta(event.GetPreviousRevision(), event.GetRevision(), event.GetChanges())
	}
	if store.Revision() < event.GetRevision() {
		return errRevisionGap
	}
	return nil
}

// checkSource returns the reason to leave a working source, or nil.
func (c *Client) checkSource(address string, isRelay bool, startedAt, lastConfirmed time.Time) error {
	sources, relayCount := c.sources()
	switch {
	case isRelay && !slices.Contains(sources[:relayCount], address):
		return errPreferredSource
	case !isRelay && relayCount > 0 && time.Since(startedAt) > maxFallbackTime:
		return errPreferredSource
	case len(sources) > 1 && time.Since(lastConfirmed) > MaxUnconfirmedTime:
		return errNotConfirmed
	}
	return nil
}

func streamError(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && status.Code(err) == codes.Canceled {
		return reason
	}
	return err
}
