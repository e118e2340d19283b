package core

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

const (
	// maxVerdictSubmits bounds the verdicts that this host stores at the same time.
	// Edge hosts report the others again.
	maxVerdictSubmits = 16
	// verdictSubmitTimeout bounds the attempts to store one verdict.
	verdictSubmitTimeout = 2 * time.Second
)

// Verdicts returns the stored verdicts on prompt parts and requests.
func (h *Host) Verdicts() []*apiv1.QuarantineVerdict {
	state, _ := h.state.View(^uint64(0))
	return withAges(time.Now(), state.GetVerdicts())
}

// storeVerdicts stores verdicts of the quarantine that edge hosts report, in the
// background, so that they outlive a restart of all hosts.
func (h *Host) storeVerdicts(verdicts []*apiv1.QuarantineVerdict) {
	for _, v := range verdicts {
		if v.GetGeneration() == 0 || !h.state.IsNews(v) || !h.beginVerdictSubmit(v.GetSuspect()) {
			continue
		}
		stored := proto.Clone(v).(*apiv1.QuarantineVerdict)
		stored.StoredUnixMs = time.Now().Add(-time.Duration(v.GetAgeMs()) * time.Millisecond).UnixMilli()
		stored.AgeMs, stored.TrialAgeMs = 0, 0
		go func() {
			defer h.endVerdictSubmit(stored.GetSuspect())
			ctx, cancel := context.WithTimeout(h.ctx, verdictSubmitTimeout)
			defer cancel()
			err := h.submit(ctx, &apiv1.FleetCommand{Verdict: stored})
			h.log.WithFields(map[string]any{"suspect": strconv.FormatUint(stored.GetSuspect(), 16), "generation": stored.GetGeneration(), "state": stored.GetState(), "error": err}).Info("quarantine verdict stored")
		}()
	}
}

// beginVerdictSubmit reserves the submission of a verdict on the suspect. It returns
// false if one is running or too many are.
func (h *Host) beginVerdictSubmit(suspect uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.verdictSubmits[suspect] || len(h.verdictSubmits) >= maxVerdictSubmits {
		return false
	}
	h.verdictSubmits[suspect] = true
	return true
}

func (h *Host) endVerdictSubmit(suspect uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.verdictSubmits, suspect)
}

// withAges returns copies of stored verdicts with their age by the clock of this
// host. A clock that was set back makes them younger, never negative.
func withAges(now time.Time, stored []*apiv1.QuarantineVerdict) []*apiv1.QuarantineVerdict {
	out := make([]*apiv1.QuarantineVerdict, 0, len(stored))
	for _, v := range stored {
		m := proto.Clone(v).(*apiv1.QuarantineVerdict)
		m.AgeMs, m.StoredUnixMs = max(now.UnixMilli()-v.GetStoredUnixMs(), 0), 0
		out = append(out, m)
	}
	return out
}
