package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const modelFairShare = 40_000.0

// newFixedShareHost returns one of several edge hosts, with a fair share that stays as it
// is and engines that always have room for requests on time, and none for late ones.
func newFixedShareHost(hosts int) *Dispatcher {
	d := newFleetOf(false, v1, v1, v1, v1)
	d.SetEdgeHosts([]string{d.self}, hosts)
	d.shares.fairShare, d.shares.updatedAt, d.shares.pressure = modelFairShare, start.Add(time.Hour), targetPressure
	return d
}

// admitTokens offers a request of the workspace "w" that costs the given service tokens.
// It takes no room at the engine for longer than the call.
func admitTokens(d *Dispatcher, now time.Time, tokens int, isTakeUp bool) (*Request, Decision) {
	r := newRequest(now, "w", 10, time.Second)
	r.OutputTokens = (tokens - r.PromptTokens) / outputWeight
	if r.Resumption = isTakeUp; isTakeUp {
		r.Release = v1
	}
	return r, admitAtBusyEngines(d, now, r)
}

// admitAtBusyEngines offers a request to a host whose engines have room for requests on time
// only.
func admitAtBusyEngines(d *Dispatcher, now time.Time, r *Request) Decision {
	for _, s := range d.servers {
		s.prefillRate = modelFairShare / 4 / shareWindow.Seconds() // one workspace gets all that four engines prefill
		s.updatedAt, s.backlogTokens = now, 5*idleBacklog.Seconds()*s.prefillRate
	}
	v := d.Admit(now, r)
	d.Cancel(r)
	return v
}

func settle(d *Dispatcher, now time.Time, r *Request, o Outcome) {
	d.RecordEvent(now, r)
	d.RecordOutcome(now, r, o)
}

// Guards against a stream that is refused for the share of its workspace although part of
// it was made within that share, and against this for other requests.
func TestResumptionIsNotRefusedForTheShare(t *testing.T) {
	const tokens = 1000
	d := newFixedShareHost(4)
	for range int(modelFairShare) / tokens {
		r, v := admitTokens(d, start, tokens, false)
		assert.Equal(t, v.Action, Send)
		settle(d, start, r, Completed)
	}
	_, v := admitTokens(d, start, tokens, false)
	assert.Equal(t, v.Class, OverShare)
	r, v := admitTokens(d, start, tokens, true)
	assert.Equal(t, v.Action, Send)
	assert.Equal(t, d.shares.usageOf("w").served.sum, modelFairShare+tokens, "the workspace is charged")
	settle(d, start, r, Completed)
	r = newRequest(start, "w", tokens, time.Second)
	r.Release = v1
	assert.Equal(t, d.Admit(start, r).Class, OverShare, "no take-up")
}

// Guards against an excess that is counted again when the engine has no slot, or that is
// given back to a workspace whose answer broke off.
func TestExcessIsCountedOnce(t *testing.T) {
	const tokens = 2000
	d := newFixedShareHost(4)
	d.shares.recordServed(start, "w", 2*modelFairShare)
	r, v := admitTokens(d, start, tokens, true)
	for range 2 {
		assert.Equal(t, v.Action, Send)
		d.RecordOutcome(start, r, NoSlot) // each engine is full for a while
		v = d.Admit(start, r)
		assert.Equal(t, d.shares.usageOf("w").ahead.sum, float64(tokens))
	}
	settle(d, start, r, ConnectionLost)
	assert.Equal(t, d.shares.usageOf("w").ahead.sum, float64(tokens))
	for range 4 {
		r, v = admitTokens(d, start, tokens, true)
		assert.Equal(t, v.Action, Send)
		settle(d, start, r, Completed)
	}
	_, v = admitTokens(d, start, tokens, true)
	assert.Equal(t, v.Action, Wait, "10,000 tokens are the part of this host")
	assert.Equal(t, v.Class, Late, "it waits for an idle engine and is not refused for the share")
	for _, c := range []struct {
		after time.Duration
		want  Action
	}{{shareWindow, Wait}, {TakeUpWindow, Send}} {
		now := start.Add(c.after)
		d.shares.recordServed(now, "w", 2*modelFairShare)
		_, v = admitTokens(d, now, tokens, true)
		assert.Equal(t, v.Action, c.want, "after %s", c.after)
	}
}

// sentTokens is what the model of a host knows of a request that was sent.
type sentTokens struct {
	at       time.Time
	tokens   float64
	isTakeUp bool
}

// tokensSince sums the tokens of the requests that were sent in the time before now.
func tokensSince(sent []sentTokens, now time.Time, span time.Duration, count func(sentTokens) bool) (sum float64) {
	for _, s := range sent {
		if now.Sub(s.at) < span && count(s) {
			sum += s.tokens
		}
	}
	return sum
}

// Guards against a workspace that gets more by naming one stream again and again: in any
// order of new requests and take-ups a host whose engines are not idle sends at most the
// fair share, half a request and the excess; other requests never use the excess; a take-up
// that fits the excess is sent, and the others wait for an engine that is idle. The windows of the
// dispatcher move in steps of bucketTime and takeUpBucketTime.
func TestResumptionsGetABoundedExcess(t *testing.T) {
	const largest = 6000
	all := func(sentTokens) bool { return true }
	takeUps := func(s sentTokens) bool { return s.isTakeUp }
	beyond := 0
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 5).Draw(t, "hosts")
		excess := maxTakeUpShare * modelFairShare / float64(hosts)
		d := newFixedShareHost(hosts)
		now := start
		var sent []sentTokens
		for range rapid.IntRange(1, 150).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "ms")) * time.Millisecond)
			tokens := 2 * rapid.IntRange(100, largest/2).Draw(t, "half of the tokens")
			isTakeUp := rapid.IntRange(0, 3).Draw(t, "kind") > 0
			fitsExcess := tokensSince(sent, now, TakeUpWindow+takeUpBucketTime, takeUps)+float64(tokens) <= excess
			r, v := admitTokens(d, now, tokens, isTakeUp)
			if v.Action != Send {
				want := OverShare
				if isTakeUp {
					want = Late
				}
				if v.Action != Wait || v.Class != want || isTakeUp && fitsExcess {
					t.Fatalf("not sent as %s: %s, take-up %t", v.Class, v.Reason, isTakeUp)
				}
				continue
			}
			before := tokensSince(sent, now, shareWindow-bucketTime, all)
			isBeyond := before+float64(tokens)/2 > modelFairShare
			if isBeyond {
				beyond++
			}
			if isBeyond && !isTakeUp {
				t.Fatalf("another request of %d tokens was sent after %v", tokens, before)
			}
			sent = append(sent, sentTokens{now, float64(tokens), isTakeUp})
			if got := before + float64(tokens); got > modelFairShare+largest/2+excess {
				t.Fatalf("%v tokens in a window, excess %v", got, excess)
			}
			if got := d.shares.usageOf("w").ahead.sum; got > excess {
				t.Fatalf("%v tokens beyond the share in TakeUpWindow, excess %v", got, excess)
			}
			settle(d, now, r, rapid.SampledFrom([]Outcome{Completed, ServerError, CallerDisconnected}).Draw(t, "outcome"))
		}
	})
	assert.Assert(t, beyond > 100, "%d requests were sent beyond the share", beyond)
}

// Plays a workspace that takes streams up without end at all hosts, against one
// that sends the same number of new streams: neither gets less than half of what the other
// gets, as the users ask.
func TestRepeatedResumptionsDoNotDisplaceOthers(t *testing.T) {
	const span = 20 * time.Second
	sim := newSimulation(t, 4, 6, 50_000)
	var workloads []workload
	for i := range 4 {
		workloads = append(workloads, workload{"new", i, 40, 6000, longObjective, 0, span, 0})
	}
	sim.onStep = func(elapsed time.Duration) {
		if elapsed%(25*time.Millisecond) != 0 {
			return
		}
		for i, d := range sim.fleet {
			r := newRequest(sim.now, "resumptions", 6000, longObjective)
			r.Release, r.Resumption = v1, true
			sim.decided(i, r, d.Admit(sim.now, r))
		}
	}
	sim.runFor(append(baseWorkloads(span), workloads...), span)
	others, resumptions := float64(sim.results["new"].served), float64(sim.results["resumptions"].served)
	t.Logf("new streams %v tokens, resumptions %v", others, resumptions)
	assert.Assert(t, sim.results["resumptions"].refused > 0 && sim.results["new"].refused > 0, "there must be an overload")
	assert.Assert(t, others > resumptions/2 && resumptions > others/2)
}
