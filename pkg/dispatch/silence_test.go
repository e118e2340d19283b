package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against take-ups that are sent back to the engine that has fallen silent under
// their streams: once its callers leave, it looks idle and keeps their prompts. Guards
// against engines that are taken out of use although only their announcements are lost,
// that have nothing to answer, that read a long prompt, or whose answers this host has not
// read yet.
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
			if !c.avoided {
				return
			}
			r = newRequest(now, "w", 1000, time.Second, part)
			r.ExcludedServers = []string{"engine-1"}
			assert.Equal(t, d.Admit(now, r).Server, "engine-0", "there is no other engine")
			now = now.Add(time.Millisecond)
			d.RecordEvent(now, r) // any sign ends it
			assert.Assert(t, !d.servers["engine-0"].isAvoided(now))
		})
	}
}

// Guards against an engine that is out of use while the core hosts pass no announcements
// on: it pauses for a second or more between its events, or reads a long prompt.
func TestSoundEngineServesWhileAnnouncementsAreCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		tokens int
		gap    time.Duration
	}{"pauses": {1000, 1200 * time.Millisecond}, "long pauses": {1000, 1800 * time.Millisecond}, "long prompt": {80_000, time.Hour}} {
		t.Run(name, func(t *testing.T) {
			d := newFleetOf(false, v1)
			now := start
			stream := newRequest(now, "w", c.tokens, time.Minute)
			stream.Deadline = now.Add(time.Hour)
			assert.Equal(t, d.Admit(now, stream).Action, Send)
			for last := now; now.Before(start.Add(20 * time.Second)); now = now.Add(10 * time.Millisecond) {
				if now.Sub(last) >= c.gap {
					d.RecordEvent(now, stream)
					last = now
				}
				d.fairShare(now)
				r := newRequest(now, "x", 10, time.Second)
				v := d.Admit(now, r)
				assert.Assert(t, v.Action != Refuse, "%s: %s", now.Sub(start), v.Reason)
				if v.Action == Send {
					d.RecordOutcome(now, r, CallerDisconnected)
				}
				d.Cancel(r)
			}
			assert.Equal(t, len(d.DueProbes(now)), 0)
		})
	}
}
