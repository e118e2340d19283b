package quarantine

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// Guards against copies of a request that callers sent counting as second attempts of a
// host because they were sent before the loss or right after it, and against the reverse.
func TestCopiesOfCallersAreToldFromSecondAttempts(t *testing.T) {
	const gap = time.Second // between the losses
	for name, c := range map[string]struct {
		copies     []Copy
		sentBefore time.Duration // from the sending of each copy to its loss
		want       bool
	}{
		"two callers at once":                  {[]Copy{FirstCopy, FirstCopy}, 2 * gap, true},
		"a caller that returns at once":        {[]Copy{FirstCopy, FirstCopy}, gap - retryTime/2, true},
		"a second attempt":                     {[]Copy{FirstCopy, FurtherCopy}, gap - retryTime/2, false},
		"a second attempt that waited":         {[]Copy{FirstCopy, FurtherCopy}, gap / 2, false},
		"a caller after a second attempt":      {[]Copy{FirstCopy, FurtherCopy, FirstCopy}, 3 * gap, true},
		"a caller, the first loss is not kept": {[]Copy{FurtherCopy, FirstCopy}, gap / 2, true},
		"older hosts, sent at once":            {[]Copy{UnknownCopy, UnknownCopy}, gap - retryTime/2, false},
		"older hosts, sent later":              {[]Copy{UnknownCopy, UnknownCopy}, gap / 2, true},
		"an older host and a caller at once":   {[]Copy{UnknownCopy, FirstCopy}, gap - retryTime/2, false},
		"a caller and an older host":           {[]Copy{FirstCopy, UnknownCopy}, gap / 2, true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker, now := New(1), start
			for i, lost := range c.copies {
				now = now.Add(gap)
				tracker.AddLoss(now, Loss{Server: Server{uint64(i), 1}, At: now, Lost: 1, Requests: []Sent{{poll, now.Add(-c.sentBefore), lost}}})
			}
			x := tracker.indexRepeats(tracker.sortedLosses())
			assert.Equal(t, len(x.repeated) > 0, c.want)
		})
	}
}

// Guards against a report of an older host being rejected, or understood otherwise than
// before it had copies, and against a loss with a first copy counting as one without.
func TestLossOfAnOlderHostIsUnderstood(t *testing.T) {
	loss := Loss{Server: Server{1, 1}, At: start, Reporter: 2, Lost: 1, Requests: []Sent{{poll, start.Add(-time.Second), FurtherCopy}}}
	sent := (&Message{Losses: []Loss{loss}}).ToProto(start)
	sent.Losses[0].Copies = nil
	assert.NilError(t, ValidateNews(sent))
	old := MessageFromProto(start, sent)
	assert.Equal(t, old.Losses[0].Requests[0].Copy, UnknownCopy)

	later := &apiv1.QuarantineNews{Losses: []*apiv1.ServerLoss{{Requests: []uint64{1}, SentBeforeMs: []uint32{1}, Copies: []uint32{uint32(FurtherCopy) + 1}}}}
	assert.NilError(t, ValidateNews(later), "a value of a later release")
	assert.Equal(t, MessageFromProto(start, later).Losses[0].Requests[0].Copy, UnknownCopy)
	later.Losses[0].Copies = []uint32{1, 1}
	assert.ErrorContains(t, ValidateNews(later), "copies")

	for _, c := range []struct {
		reports []Copy
		want    Copy
	}{
		{[]Copy{FurtherCopy, UnknownCopy}, UnknownCopy},
		{[]Copy{UnknownCopy, FurtherCopy}, UnknownCopy},
		{[]Copy{FurtherCopy, FirstCopy}, FirstCopy},
		{[]Copy{FirstCopy, UnknownCopy}, FirstCopy},
		{[]Copy{FurtherCopy, FurtherCopy}, FurtherCopy},
	} {
		tracker := New(1)
		for i, lost := range c.reports {
			loss.Reporter, loss.Requests = uint64(2+i), []Sent{{poll, start.Add(-time.Second), lost}}
			tracker.Merge(start, Message{Losses: []Loss{loss}}, false)
		}
		summary := tracker.Summary(false)
		assert.Equal(t, summary.Losses[0].Requests[0].Copy, c.want, "%v", c.reports)
	}
}

// Guards against a report that older hosts cannot read: they know fields 1 to 9, and pass
// over others.
func TestCopiesLeaveOtherFieldsOfALossAsTheyWere(t *testing.T) {
	loss := &apiv1.ServerLoss{Server: 1, Requests: []uint64{1, 2}, SentBeforeMs: []uint32{3, 4}, Lost: 2}
	before, err := proto.MarshalOptions{Deterministic: true}.Marshal(loss)
	assert.NilError(t, err)
	loss.Copies = []uint32{1, 2}
	after, err := proto.MarshalOptions{Deterministic: true}.Marshal(loss)
	assert.NilError(t, err)
	assert.DeepEqual(t, after[:len(before)], before)
	assert.DeepEqual(t, after[len(before):], []byte{10<<3 | 2, 2, 1, 2})
}
