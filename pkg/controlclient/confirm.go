package controlclient

import (
	"context"
	"errors"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/catalog"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Confirm brings the store up to everything that was committed before the call, and
// returns after a majority of the control hosts has confirmed it. It returns a
// ControlUnavailable error if none does before ctx ends. It asks all control hosts at the
// same time, because only the leader can confirm.
func (c *Client) Confirm(ctx context.Context, store *catalog.Store) error {
	for {
		event, err := c.confirmedEvent(ctx, store.Revision())
		if err == nil {
			err = applyEvent(store, event)
		}
		if err == nil || errors.Is(err, errClosed) {
			return err
		}
		select {
		case <-ctx.Done():
			return result.Wrap(result.ControlUnavailable, err, "no majority of the control hosts confirmed the configuration")
		case <-time.After(retryBackoffMin):
		}
	}
}

// confirmedEvent returns the first event of a watch that a majority has confirmed. The
// confirmation of a first event begins after the call.
func (c *Client) confirmedEvent(ctx context.Context, after uint64) (*apiv1.WatchEvent, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		event *apiv1.WatchEvent
		err   error
	}
	answers := make(chan answer, len(c.config.Addresses))
	for _, address := range c.config.Addresses {
		go func() {
			event, err := c.firstEvent(ctx, address, after)
			answers <- answer{event, err}
		}()
	}
	err := errNotConfirmed
	for range c.config.Addresses {
		a := <-answers
		switch {
		case a.err != nil:
			err = a.err
		case a.event.GetConfirmed():
			return a.event, nil
		}
	}
	return nil, err
}

func (c *Client) firstEvent(ctx context.Context, address string, after uint64) (*apiv1.WatchEvent, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, err
	}
	stream, err := apiv1.NewControlClient(conn).Watch(ctx, &apiv1.WatchRequest{AfterRevision: after, Router: c.config.Router, DataCentre: c.config.DataCentre})
	if err != nil {
		return nil, err
	}
	return stream.Recv()
}
