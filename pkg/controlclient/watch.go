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
	// HeartbeatTimeout is the silence after which a watch stream is replaced.
	HeartbeatTimeout = 3 * catalog.HeartbeatInterval
	// firstEventTimeout leaves time for a whole snapshot over a slow link.
	firstEventTimeout = 10 * time.Second
	// UnconfirmedLimit is the time without a confirmed event after which Watch
	// tries another source. A control host that is cut off from the others
	// keeps sending heartbeats, but none that is confirmed.
	UnconfirmedLimit = 5 * time.Second
	// fallbackLimit is the longest use of a control host while Upstreams names
	// relays, so that routers return to their relays.
	fallbackLimit = time.Minute
	// settledAfter is the life of a stream after which Watch begins again with
	// the best source and without a pause.
	settledAfter = 5 * time.Second

	watchPauseMin = 50 * time.Millisecond
	watchPauseMax = 2 * time.Second
)

var (
	errSilent      = errors.New("the stream went silent")
	errUnconfirmed = errors.New("no majority confirms its configuration")
	errGap         = errors.New("the stream left out a revision")
	errMoved       = errors.New("another source is preferred")
)

// Watch follows the configuration into the store until ctx ends, whose error
// it returns. It replaces a stream that breaks, goes silent or is no longer
// confirmed by a majority. An empty store takes its first configuration only
// from a confirmed event, because an old one would revert what the router
// applied before its restart.
func (c *Client) Watch(ctx context.Context, store *catalog.Store) error {
	pause := watchPauseMin
	for i := 0; ; i++ {
		sources, relays := c.sources()
		place := i % len(sources)
		began := time.Now()
		err := c.follow(ctx, sources[place], place < relays, store)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.config.Logger.Infof("watch of %s ended: %v", sources[place], err)
		if errors.Is(err, errMoved) || (time.Since(began) > settledAfter && !errors.Is(err, errUnconfirmed)) {
			i, pause = -1, watchPauseMin
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		if place == len(sources)-1 {
			pause = min(2*pause, watchPauseMax)
		}
	}
}

// Confirmed reports whether the configuration was confirmed by a majority of
// the control hosts within the given time. A relay passes it on.
func (c *Client) Confirmed(within time.Duration) bool {
	return time.Since(time.Unix(0, c.confirmedAt.Load())) <= within
}

// sources returns the addresses to watch, best first, and how many of them
// are relays.
func (c *Client) sources() ([]string, int) {
	var relays []string
	if c.config.Upstreams != nil {
		relays = c.config.Upstreams()
	}
	out := slices.Clone(relays)
	for i := range c.config.Addresses {
		out = append(out, c.config.Addresses[(c.first+i)%len(c.config.Addresses)])
	}
	return out, len(relays)
}

// follow applies one stream. It uses a connection of its own, because the
// old one may be silent for good.
func (c *Client) follow(ctx context.Context, address string, relay bool, store *catalog.Store) error {
	options := c.config.DialOptions
	if relay && c.config.RelayDialOptions != nil {
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
	silence := time.AfterFunc(firstEventTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	began, confirmed := time.Now(), time.Now()
	for {
		event, err := stream.Recv()
		if err != nil {
			return cause(ctx, err)
		}
		silence.Reset(HeartbeatTimeout)
		if event.GetConfirmed() {
			confirmed = time.Now()
			c.confirmedAt.Store(confirmed.UnixNano())
		}
		if err := apply(store, event); err != nil {
			return err
		}
		if err := c.stay(address, relay, began, confirmed); err != nil {
			return err
		}
	}
}

// apply brings the store to the revision of the event.
func apply(store *catalog.Store, event *apiv1.WatchEvent) error {
	switch {
	case store.Load() == nil && !event.GetConfirmed():
		return errUnconfirmed
	case event.GetSnapshot():
		store.ApplySnapshot(event.GetRevision(), event.GetChanges())
	case len(event.GetChanges()) > 0:
		store.ApplyDelta(event.GetPreviousRevision(), event.GetRevision(), event.GetChanges())
	}
	if store.Revision() < event.GetRevision() {
		return errGap
	}
	return nil
}

// stay returns the reason to leave a working source, nil to stay.
func (c *Client) stay(address string, relay bool, began, confirmed time.Time) error {
	sources, relays := c.sources()
	switch {
	case relay && !slices.Contains(sources[:relays], address):
		return errMoved
	case !relay && relays > 0 && time.Since(began) > fallbackLimit:
		return errMoved
	case len(sources) > 1 && time.Since(confirmed) > UnconfirmedLimit:
		return errUnconfirmed
	}
	return nil
}

func cause(ctx context.Context, err error) error {
	if reason := context.Cause(ctx); reason != nil && status.Code(err) == codes.Canceled {
		return reason
	}
	return err
}
