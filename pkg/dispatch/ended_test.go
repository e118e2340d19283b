package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// sentTo returns the server that a stream at the host of two servers is sent to, "" if none.
func sentTo(d *Dispatcher, now time.Time, id release.ID, recordedOnly bool) string {
	r := newRequest(now, "w", 100, time.Second)
	r.Release, r.RecordedOnly, r.ExcludedServers = id, recordedOnly, []string{"engine-1"}
	v := d.Admit(now, r)
	if v.Action != Send {
		d.Cancel(r)
		return ""
	}
	d.RecordEvent(now, r)
	d.RecordOutcome(now, r, Completed)
	return v.Server
}

// Guards against streams that go on, or begin, at a process whose release is not known
// yet: it took the place of one that ended, and its announcement is late.
func TestReleaseIsUnknownAfterTheEndOfAProcess(t *testing.T) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprint(plain), func(t *testing.T) {
			infos := infosOf(plain, v1, v1)
			d := newFleetOf(plain, v1, v1)
			now := start.Add(time.Second)
			assert.Equal(t, sentTo(d, now, v1, true), "engine-0")
			d.RecordEnd(now, "engine-0", 2) // of another process
			assert.Equal(t, sentTo(d, now, v1, true), "engine-0")
			d.RecordEnd(now, "engine-0", 1)
			assert.Assert(t, d.HasEnded("engine-0", 1) && !d.HasEnded("engine-0", 2) && !d.HasEnded("engine-1", 1))
			for range 8 { // announcements of the process that were under way, and healthy answers of the next one
				now = now.Add(time.Second)
				infos[0].Heard = now
				d.SetServers(now, infos)
				d.RecordProbe(now, "engine-0", true, 0)
				assert.Equal(t, sentTo(d, now, v1, false), "")
				assert.Equal(t, sentTo(d, now, v1, true), "")
				assert.Equal(t, sentTo(d, now, release.Unknown, true), "")
				assert.Equal(t, sentTo(d, now, release.Unknown, false), "engine-0", "what is no stream needs no release")
			}
			one := newFleetOf(plain, v1)
			one.RecordEnd(start, "engine-0", 1)
			r := newRequest(start, "w", 100, time.Second)
			r.Release = v1
			assert.Equal(t, one.Admit(start, r).Action, Refuse, "it can't be served in time")
			infos[0].StartMS, infos[0].Release = 9, v2
			d.SetServers(now, infos)
			assert.Equal(t, sentTo(d, now, v1, true), "")
			assert.Equal(t, sentTo(d, now, v2, true), "engine-0")
		})
	}
}

// Guards against a sound server that never gets a stream again, because its address
// refused a connection once.
func TestEndIsRefutedByLaterAnnouncements(t *testing.T) {
	infos := infosOf(false, v1, v1)
	d := newFleetOf(false, v1, v1)
	d.RecordEnd(start, "engine-0", 1)
	for _, c := range []struct {
		after time.Duration
		want  string
	}{{maxAnnouncementDelay, ""}, {maxAnnouncementDelay + time.Second, "engine-0"}} {
		now := start.Add(c.after)
		infos[0].Heard = now
		d.SetServers(now, infos)
		assert.Equal(t, sentTo(d, now, v1, true), c.want, c.after)
	}
}

// Guards against streams that go on at a server while another process than the announced one
// answers there, and against new ones that a wrong statement keeps away.
func TestStreamsDoNotGoOnAtAnotherProcess(t *testing.T) {
	for _, plain := range []bool{false, true} {
		t.Run(fmt.Sprint(plain), func(t *testing.T) {
			infos := infosOf(plain, v1, v1)
			d := newFleetOf(plain, v1, v1)
			now := start.Add(time.Second)
			d.RecordOtherProcess(now, "engine-0", 2) // not the announced one
			assert.Equal(t, sentTo(d, now, v1, true), "engine-0")
			d.RecordOtherProcess(now, "engine-0", 1)
			d.RecordOtherProcess(now, "engine-9", 1)
			for range 8 { // announcements of the process before that were under way
				now = now.Add(time.Second)
				infos[0].Heard = now
				d.SetServers(now, infos)
				assert.Equal(t, sentTo(d, now, v1, true), "")
				assert.Equal(t, sentTo(d, now, release.Unknown, true), "engine-0", "a new stream needs no proof")
			}
			infos[0].StartMS, infos[0].Release = 9, v2
			d.SetServers(now, infos)
			assert.Equal(t, sentTo(d, now, v2, true), "engine-0")
			d.RecordOtherProcess(now, "engine-0", 9)
			infos[0].Heard = now.Add(maxAnnouncementDelay + time.Millisecond)
			d.SetServers(infos[0].Heard, infos)
			assert.Equal(t, sentTo(d, infos[0].Heard, v2, true), "engine-0", "the announced process lives")
		})
	}
}
