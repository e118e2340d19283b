package catalog

import (
	"context"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// HeartbeatInterval is the longest time between two events of a watch stream.
const HeartbeatInterval = time.Second

// ServeWatch sends the changes after a revision, then each new revision and a
// heartbeat every HeartbeatInterval, until ctx ends or send fails. confirm
// reports whether a majority has confirmed that the current revision is not out
// of date; it may block for up to one heartbeat interval. Control hosts use
// ServeWatch, and routers that relay their watch stream.
func ServeWatch(ctx context.Context, store *Store, after uint64, confirm func(context.Context) bool, send func(*apiv1.WatchEvent) error) error {
	changed, stop := store.Subscribe()
	defer stop()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		// Confirm first: the confirmation covers only a revision read after it.
		isConfirmed := confirm(ctx)
		event := store.EventAfter(after)
		if event == nil {
			event = &apiv1.WatchEvent{Revision: store.Revision(), PreviousRevision: store.Revision()}
		}
		event.Confirmed = isConfirmed
		if err := send(event); err != nil {
			return err
		}
		after = max(after, event.GetRevision())
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-changed:
		case <-heartbeat.C:
		}
	}
}
