package catalog

import (
	"context"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// HeartbeatInterval is the longest time between two events of a watch stream.
const HeartbeatInterval = time.Second

// ServeWatch sends the changes after a revision, then each change as it
// becomes present and a heartbeat each HeartbeatInterval, until ctx ends or a
// send fails. confirmed says whether a majority has confirmed that the present
// revision was not old at that moment; it may block up to one heartbeat. A
// control host and a router that relays its watch stream both use it.
func ServeWatch(ctx context.Context, store *Store, after uint64, confirmed func(context.Context) bool, send func(*apiv1.WatchEvent) error) error {
	changed, stop := store.Subscribe()
	defer stop()
	heartbeat := time.NewTicker(HeartbeatInterval)
	defer heartbeat.Stop()
	for {
		// The confirmation comes first: it covers the revision read after it.
		ok := confirmed(ctx)
		event := store.EventAfter(after)
		if event == nil {
			event = &apiv1.WatchEvent{Revision: store.Revision(), PreviousRevision: store.Revision()}
		}
		event.Confirmed = ok
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
