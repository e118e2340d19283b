package edge

import (
	"context"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/dispatch"
	"jackdawtrack.example/jackdawtrack/pkg/logging"
	"jackdawtrack.example/jackdawtrack/pkg/losses"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// fullTracker returns a tracker whose tables are all full, and the time of its last
// event.
func fullTracker() (*quarantine.Tracker, time.Time) {
	tracker, now, part := quarantine.New(1), start, uint64(1)
	var requests []quarantine.Sent
	next := func(n int) []uint64 {
		out := make([]uint64, n)
		for i := range out {
			out[i] = part * 0x9e3779b97f4a7c15 // parts are hashes
			part++
		}
		return out
	}
	for range 1200 {
		now = now.Add(time.Millisecond)
		tracker.AnswerBegan(now, now, now, next(quarantine.MaxRequestParts))
		for _, r := range next(10) {
			tracker.AnswerBegan(now, now, now, []uint64{quarantine.RequestSuspect(r)})
		}
	}
	var verdicts []quarantine.Verdict
	for _, p := range next(quarantine.MaxVerdicts) {
		verdicts = append(verdicts, quarantine.Verdict{Suspect: p, Generation: 1, State: quarantine.Quarantined, Since: now, Term: time.Minute, Losses: 5, Hosts: 9, Companions: next(quarantine.MaxCompanions)})
	}
	tracker.MergeVerdicts(now, verdicts)
	for i := range uint64(quarantine.MaxLosses) {
		now = now.Add(time.Second)
		server := quarantine.Server{Hash: i * 0x9e3779b97f4a7c15, StartMS: 1_780_000_000_000}
		requests = nil
		for _, r := range next(quarantine.MaxRequestsPerMessage) {
			requests = append(requests, quarantine.Sent{Request: quarantine.RequestSuspect(r), At: now.Add(-time.Second)})
		}
		tracker.AddLoss(now, quarantine.Loss{Server: server, At: now, Parts: next(quarantine.MaxPartsPerMessage), Requests: requests, Lost: 100})
		for reporter := range uint64(quarantine.MaxReporters) {
			others := slices.Clone(requests)
			for i, r := range next(len(others)) {
				others[i].Request = quarantine.RequestSuspect(r)
			}
			tracker.Merge(now, quarantine.Message{Losses: []quarantine.Loss{{
				Server: server, At: now, Reporter: reporter, Parts: next(quarantine.MaxPartsPerMessage), Requests: others, Lost: 100, Begun: 1000,
			}}}, false)
		}
	}
	return tracker, now
}

// Guards against evidence that does not fit into a datagram beside the load, or into
// the memory of a small host, whatever callers put into prompts.
func TestEvidenceFitsIntoDatagramAndMemory(t *testing.T) {
	const maxMessageBytes, maxStateBytes = 16 << 10, 8 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tracker, now := fullTracker()
	runtime.GC()
	runtime.ReadMemStats(&after)
	state := int64(after.HeapAlloc) - int64(before.HeapAlloc)
	digest, report := tracker.Message(now, true), tracker.Summary(true)
	m, summary := digest.ToProto(now), report.ToProto(now)
	size := max(proto.Size(m), proto.Size(summary))
	t.Logf("state of %d bytes, digest of %d, summary of %d", state, proto.Size(m), proto.Size(summary))
	assert.Assert(t, size <= maxMessageBytes, "%d bytes", size)
	assert.Assert(t, state <= maxStateBytes, "%d bytes", state)
	runtime.KeepAlive(tracker)
}

// Guards against messages that lose a field, and against ages or states from another
// host that this one cannot bear.
func TestEvidenceSurvivesMessages(t *testing.T) {
	now := start.Add(time.Hour)
	want := quarantine.Message{
		Losses: []quarantine.Loss{{Server: quarantine.Server{Hash: 1, StartMS: 2}, At: now.Add(-3 * time.Second), Reporter: 4, Parts: []uint64{5, 6}, Requests: []quarantine.Sent{
			{Request: quarantine.RequestSuspect(7), At: now.Add(-3500 * time.Millisecond), Copy: quarantine.FurtherCopy},
			{Request: quarantine.RequestSuspect(8), At: now.Add(-3500 * time.Millisecond), Copy: quarantine.FirstCopy},
			{Request: quarantine.RequestSuspect(9), At: now.Add(-3500 * time.Millisecond)},
		}, Lost: 7, Begun: 8}},
		Cleared: []quarantine.Cleared{{Suspect: 9, At: now.Add(-10 * time.Second)}},
		Verdicts: []quarantine.Verdict{{
			Suspect: 11, Generation: 12, State: quarantine.Quarantined, Since: now.Add(-13 * time.Second), Term: 14 * time.Second, Losses: 15, Hosts: 16,
			TrialAt: now.Add(-17 * time.Millisecond), Companions: []uint64{18},
		}},
	}
	assert.DeepEqual(t, quarantine.MessageFromProto(now, want.ToProto(now)), want)
	for _, m := range []*apiv1.QuarantineNews{
		{Verdicts: []*apiv1.QuarantineVerdict{{Suspect: 1, Generation: 1, State: 1 << 20, AgeMs: -5, TermMs: -1, TrialAgeMs: 1 << 62}}},
		{Losses: []*apiv1.ServerLoss{{AgeMs: -1 << 62, Parts: make([]uint64, 5000)}}, Cleared: []*apiv1.ClearedSuspect{{AgeMs: 1 << 62}}},
	} {
		tracker := quarantine.New(1)
		tracker.Merge(now, quarantine.MessageFromProto(now, m), false)
		tracker.Poll(now.Add(time.Second))
		assert.Equal(t, len(tracker.List()), 0)
	}
}

// Guards against the parts of one request taking unbounded time or memory, and
// against its own last part becoming a suspect.
func TestSharedPartsAreBounded(t *testing.T) {
	assert.Equal(t, len(sharedParts(nil)), 0)
	assert.Equal(t, len(sharedParts([]dispatch.Part{{ID: 1}})), 0)
	assert.DeepEqual(t, sharedParts([]dispatch.Part{{ID: 1}, {ID: 2}, {ID: 3}}), []uint64{1, 2})
	assert.Equal(t, len(sharedParts(make([]dispatch.Part, 10*quarantine.MaxRequestParts))), quarantine.MaxRequestParts)
}

// Guards against the second attempt of a host being reported as a further try of the
// caller, and against one after an answer that had begun not counting as the first loss.
func TestLossOfASecondAttemptIsReportedAsSuch(t *testing.T) {
	x := newAttemptTest().proxiedRequest
	ctx, cancel := context.WithCancel(context.Background()) // lost connections are not checked
	cancel()
	x.s.ctx, x.s.log = ctx, logging.ForComponent("test")
	for i, c := range []struct {
		begun bool
		want  quarantine.Copy
	}{{true, quarantine.UnknownCopy}, {false, quarantine.FirstCopy}, {false, quarantine.FurtherCopy}, {false, quarantine.FurtherCopy}} {
		v := dispatch.Decision{Server: strconv.Itoa(i), Address: "127.0.0.1:" + strconv.Itoa(i)}
		x.addLostConnection(v, time.Now(), c.begun)
		l := x.s.losses.TakeRestarted(time.Now(), v.Address, func(losses.Process) bool { return true })
		if c.begun {
			assert.Assert(t, l == nil)
			continue
		}
		assert.Equal(t, l.Requests[0].Copy, c.want, "attempt %d", i)
	}
}
