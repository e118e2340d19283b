package core

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/registry"
	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	firstStartMS  = 1_700_000_000_000
	secondStartMS = firstStartMS + 10_000
)

func processEntry(startMS int64, id release.ID) registry.Entry {
	return registry.Entry{
		ID: "a", Service: testService, Address: "10.0.0.1:80", State: registry.Ready, Sequence: 1, StartMS: startMS, Heard: time.Now(), Release: id,
	}
}

// Guards against a stream of a server that came back with another version, whose host
// ended before that process announced itself: on each way on which a core host hears of
// the process, before or after the record arrives, and also if it had not known the
// process before. A restart with the same version refuses nothing.
func TestRestartIsDoubtedHoweverItIsHeard(t *testing.T) {
	for name, hear := range map[string]func(*Host, registry.Entry){
		"announcement": func(h *Host, e registry.Entry) { h.mergeAnnouncement(e) },
		"other core host": func(h *Host, e registry.Entry) {
			h.mergeEvent(time.Now(), "core", &apiv1.FleetEvent{Servers: []*apiv1.ServerAnnouncement{e.ToProto(time.Now())}})
		},
	} {
		for _, c := range []struct {
			name        string
			isKnown     bool
			recordFirst bool
			release     release.ID
			want        streamrecord.State
		}{
			{"record first", true, true, v2, streamrecord.Conflict},
			{"restart first", true, false, v2, streamrecord.Conflict},
			{"record first, process before not known", false, true, v2, streamrecord.Conflict},
			{"restart first, process before not known", false, false, v2, streamrecord.Conflict},
			{"same version", true, true, v1, streamrecord.Recorded},
			{"same version, restart first", true, false, v1, streamrecord.Recorded},
		} {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				h := newTestHost()
				if c.isKnown {
					hear(h, processEntry(firstStartMS, v1))
				}
				r := testRecord(v1)
				r.Process = streamrecord.ProcessOf("a", firstStartMS)
				s := &newsStream{h: h, wake: make(chan struct{}, 1)}
				if c.recordFirst {
					s.handle(time.Now(), newsOf([]streamrecord.Record{r}))
				}
				hear(h, processEntry(secondStartMS, c.release))
				if !c.recordFirst {
					s.handle(time.Now(), newsOf([]streamrecord.Record{r}))
				}
				_, state := h.streams.get(time.Now(), testKey)
				assert.Equal(t, state, c.want)
			})
		}
	}
}

// Guards against a new process that is known by its withdrawal only: nobody knows its
// release. The withdrawal of the process that was asked refuses nothing.
func TestWithdrawalOfANewProcessIsDoubted(t *testing.T) {
	for startMS, want := range map[int64]streamrecord.State{
		0: streamrecord.Recorded, firstStartMS: streamrecord.Recorded, secondStartMS: streamrecord.Conflict,
	} {
		h := newTestHost()
		h.mergeAnnouncement(processEntry(firstStartMS, v1))
		r := testRecord(v1)
		r.Process = streamrecord.ProcessOf("a", firstStartMS)
		h.streams.store(time.Now(), []streamrecord.Record{r})
		h.HandleWithdrawal(registry.Withdrawal{ID: "a", StartMS: startMS})
		_, state := h.streams.get(time.Now(), testKey)
		assert.Equal(t, state, want, "start %d", startMS)
	}
}

// Guards against a server that states no start time and comes back with another version
// unnoticed, because both processes look equal: before or after the record arrives, and
// also if this host has not known the process before. With the same version, and on the
// streams of the new process, nothing is refused.
func TestRestartWithoutStartTimeIsDoubted(t *testing.T) {
	for _, c := range []struct {
		name        string
		isKnown     bool
		recordFirst bool
		record      release.ID
		release     release.ID
		want        streamrecord.State
	}{
		{"record first", true, true, v1, v2, streamrecord.Conflict},
		{"restart first", true, false, v1, v2, streamrecord.Conflict},
		{"record first, process before not known", false, true, v1, v2, streamrecord.Conflict},
		{"restart first, process before not known", false, false, v1, v2, streamrecord.Conflict},
		{"same version", true, true, v1, v1, streamrecord.Recorded},
		{"same version, restart first", true, false, v1, v1, streamrecord.Recorded},
		{"same version, process before not known", false, true, v1, v1, streamrecord.Recorded},
		{"stream of the new process", true, false, v2, v2, streamrecord.Recorded},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newTestHost()
			if c.isKnown {
				h.mergeAnnouncement(processEntry(0, v1))
			}
			r := testRecord(c.record)
			r.Process = streamrecord.ProcessOf("a", 0)
			if c.recordFirst {
				h.streams.store(time.Now(), []streamrecord.Record{r})
			}
			e := processEntry(0, c.release)
			e.Sequence++
			h.mergeAnnouncement(e)
			if !c.recordFirst {
				h.streams.store(time.Now(), []streamrecord.Record{r})
			}
			_, state := h.streams.get(time.Now(), testKey)
			assert.Equal(t, state, c.want)
		})
	}
}

// Guards against a server without a start time whose new streams are refused for minutes,
// because it went back to a version that it had before.
func TestStreamsOfAVersionThatIsBackAreNotDoubted(t *testing.T) {
	h := newTestHost()
	for n, id := range []release.ID{v1, v2, v1} {
		e := processEntry(0, id)
		e.Sequence += uint64(n)
		h.mergeAnnouncement(e)
	}
	r := testRecord(v1)
	r.Process = streamrecord.ProcessOf("a", 0)
	late := r
	late.Key = streamrecord.KeyOf("w", "r", "late")
	h.streams.store(time.Now(), []streamrecord.Record{late})
	_, state := h.streams.get(time.Now(), late.Key)
	assert.Equal(t, state, streamrecord.Conflict, "the process before may have written it")
	now := time.Now().Add(streamrecord.DoubtTime + time.Second)
	h.streams.store(now, []streamrecord.Record{r})
	_, state = h.streams.get(now, testKey)
	assert.Equal(t, state, streamrecord.Recorded)
}

// Guards against a stream that stays recorded at the release of the process before,
// because the clock of the new process is behind, so that this host takes it for an older
// one until the other has been silent for seconds. What began well before the silence is
// not in doubt, nor is a stream of a server that came back with the same version.
func TestRestartThatIsNoticedLateIsDoubted(t *testing.T) {
	for name, startMS := range map[string]int64{"clock set back": firstStartMS - 10_000, "start not stated": 0} {
		for id, want := range map[release.ID]streamrecord.State{v1: streamrecord.Recorded, v2: streamrecord.Conflict} {
			t.Run(name+"/"+id.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newTestHost()
					begin := func(key string) streamrecord.Record {
						r := streamrecord.Record{Key: streamrecord.KeyOf("w", "r", key), Release: v1, Expires: time.Now().Add(streamrecord.MaxTTL)}
						r.Process = streamrecord.ProcessOf("a", 0)
						if startMS != 0 {
							r.Process = streamrecord.ProcessOf("a", firstStartMS)
						}
						h.streams.store(time.Now(), []streamrecord.Record{r})
						return r
					}
					sound := begin("sound")
					time.Sleep(streamrecord.DoubtTime)
					before := processEntry(firstStartMS, v1)
					if startMS == 0 {
						before.StartMS = 0
					}
					before.Sequence = 1000
					h.mergeAnnouncement(before)
					time.Sleep(100 * time.Millisecond)
					first := begin("first of the new process")
					noticed := false
					for n := uint64(1); !noticed; n++ {
						assert.Assert(t, n < 10, "not noticed")
						time.Sleep(1200 * time.Millisecond)
						e := processEntry(startMS, id)
						e.Sequence, e.HeardDirectly = n, true
						h.mergeAnnouncement(e)
						now, _ := h.servers.Get("a")
						noticed = now.Sequence < 1000
					}
					_, state := h.streams.get(time.Now(), first.Key)
					assert.Equal(t, state, want)
					_, state = h.streams.get(time.Now(), sound.Key)
					assert.Equal(t, state, streamrecord.Recorded)
				})
			})
		}
	}
}
