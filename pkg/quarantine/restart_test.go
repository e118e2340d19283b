package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against servers that are back at once crashing many times on one part within
// episodeGap, and against the losses of one rack counting more than once: three
// servers end 20 ms apart, each with a request of its own, at one host.
func TestProcessThatStartedAfterALossCountsApart(t *testing.T) {
	const part, between = 7, 20 * time.Millisecond
	at := time.Unix(1_700_000_000, 0)
	for _, tc := range []struct {
		name    string
		started func(lossAt time.Time) time.Time
		want    Action
	}{
		{"not seen to start", func(time.Time) time.Time { return time.Time{} }, Allow},
		{"started before the first loss", func(time.Time) time.Time { return at.Add(-time.Second) }, Allow},
		{"started after the loss before", func(lossAt time.Time) time.Time { return lossAt.Add(-between / 2) }, Refuse},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tracker := New(1)
			now := at
			for i := range uint64(lossesToQuarantine) {
				now = at.Add(time.Duration(i) * between)
				tracker.AddLoss(now, Loss{
					Server: Server{Hash: i}, At: now, Parts: []uint64{part}, Requests: []Sent{{Request: RequestSuspect(i), At: now.Add(-time.Millisecond)}}, Lost: 1, Started: tc.started(now),
				})
				tracker.Poll(now)
			}
			action, _ := tracker.Check(now, []uint64{part})
			assert.Equal(t, action, tc.want)
		})
	}
}
