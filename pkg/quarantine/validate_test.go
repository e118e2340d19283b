package quarantine

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// FuzzNews guards against a message of another host that ends this one, or makes it
// send messages that others reject.
func FuzzNews(f *testing.F) {
	now := time.Unix(1_700_000_000, 0)
	for _, m := range []*apiv1.QuarantineNews{
		{},
		{Verdicts: []*apiv1.QuarantineVerdict{{Suspect: 1, Generation: 1, State: 2, AgeMs: 5, TermMs: 15000, TrialAgeMs: 1, Companions: []uint64{2}}}},
		{Losses: []*apiv1.ServerLoss{{Server: 1, AgeMs: 9, Parts: []uint64{1, 2}, Requests: []uint64{1 << 63}, SentBeforeMs: []uint32{3}, Copies: []uint32{1}, Lost: 1}}, Cleared: []*apiv1.ClearedSuspect{{Suspect: 1, AgeMs: 1 << 62}}},
		{Verdicts: []*apiv1.QuarantineVerdict{{Suspect: 1, Generation: 1<<32 - 1, State: 2, TermMs: 1 << 62, Losses: 1<<32 - 1}}},
	} {
		data, err := proto.Marshal(m)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m apiv1.QuarantineNews
		if proto.Unmarshal(data, &m) != nil || ValidateNews(&m) != nil {
			return
		}
		tracker := New(1)
		tracker.Merge(now, MessageFromProto(now, &m), true)
		for i := range 3 {
			at := now.Add(time.Duration(i) * time.Second)
			tracker.Check(at, []uint64{1, 2, RequestSuspect(1)})
			tracker.Poll(at)
			out := tracker.Message(at, true)
			if sent := out.ToProto(at); sent != nil {
				assert.NilError(t, ValidateNews(sent))
			}
		}
	})
}

// Guards against log lines and descriptions without bound.
func TestTextOnSuspectsIsBounded(t *testing.T) {
	assert.Equal(t, FormatList([]uint64{255, 16}), "ff 10")
	var ids []uint64
	for i := range uint64(10 * maxLoggedSuspects) {
		ids = append(ids, i)
	}
	assert.Assert(t, len(FormatList(ids)) < 10*maxLoggedSuspects, "%d bytes", len(FormatList(ids)))
	var d Descriptions
	for _, id := range ids {
		d.Add(id, "POST", "h", strings.Repeat("/x", maxDescribedTarget), "w")
		assert.Assert(t, len(d.bySuspect) <= MaxVerdicts)
	}
	entries := []Entry{{Verdict: Verdict{Suspect: ids[len(ids)-1]}}, {Verdict: Verdict{Suspect: 1 << 60}}}
	d.Complete(entries)
	assert.Assert(t, strings.HasPrefix(entries[0].Request, "POST h/x/x") && len(entries[0].Request) < 2*maxDescribedTarget, entries[0].Request)
	assert.Equal(t, entries[1].Request, "")
}
