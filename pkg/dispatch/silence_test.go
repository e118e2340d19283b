package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against take-ups that are sent back to the engine that has fallen silent under
// their streams: once its callers leave, it looks idle and keeps their prompts. Guards
// against engines that are taken out of use although only their announcements are lost,
// that have nothing to answer, or whose answers this host has not read yet.
func TestTakeUpsAvoidTheEngineThatFellSilent(t *testing.T) {
	part := Part{ID: 7, Tokens: 900}
	for _, c := range []struct {
		name               string
		announces, answers bool
		idle, suspended    bool
		avoided            bool
	}{
		{"dead", false, false, false, false, true},
		{"announces itself", true, false, false, false, false},
		{"answers", false, true, false, false, false},
		{"idle", false, false, true, false, false},
		{"this host was suspended", false, false, false, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			infos := infosOf(false, v1, v1)
			infos[0].Slots = 12
			d := newFleetOf(false)
			d.SetServers(start, infos)
			now := start
			var streams []*Request
			for range 12 {
				r := newRequest(now, "w", 1000, time.Second, part)
				r.ExcludedServers = []string{"engine-1"}
				assert.Equal(t, d.Admit(now, r).Server, "engine-0")
				now = now.Add(20 * time.Millisecond)
				d.RecordEvent(now, r)
				streams = append(streams, r)
			}
			leave := func() {
				for _, r := range streams {
					d.RecordOutcome(now, r, CallerDisconnected)
				}
				streams = nil
			}
			if c.idle {
				leave()
			}
			for range 30 { // 3 s
				now = now.Add(100 * time.Millisecond)
				infos[1].Heard = now
				if c.announces {
					infos[0].Heard = now
				}
				d.SetServers(now, infos)
				if c.answers {
					d.RecordEvent(now, streams[0])
				}
				if !c.suspended { // decisions for other callers
					r := newRequest(now, "w", 10, time.Second)
					r.ExcludedServers = []string{"engine-0"}
					d.Admit(now, r)
					d.RecordOutcome(now, r, Completed)
				}
			}
			if c.suspended {
				r := newRequest(now, "w", 10, time.Second)
				r.ExcludedServers = []string{"engine-0"}
				d.Admit(now, r)
				d.RecordOutcome(now, r, Completed)
			}
			leave()
			r := newRequest(now, "w", 1000, time.Second, part)
			r.Release, r.Resumption = v1, true
			v := d.Admit(now, r)
			assert.Equal(t, v.Action, Send)
			assert.Equal(t, v.Server == "engine-1", c.avoided, "sent to %s", v.Server)
			if c.avoided { // a health check brings it back
				now = now.Add(initialProbeDelay)
				assert.Equal(t, len(d.DueProbes(now)), 1)
				d.RecordProbe(now, "engine-0", true, 0)
				r := newRequest(now, "w", 1000, time.Second, part)
				r.ExcludedServers = []string{"engine-1"}
				assert.Equal(t, d.Admit(now, r).Server, "engine-0")
			}
		})
	}
}
