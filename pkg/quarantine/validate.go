package quarantine

import (
	"github.com/rotisserie/eris"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// ValidateNews returns an error if a message of another host has a list above its
// limit or fields that contradict each other. Such a message is of no use as a whole.
func ValidateNews(m *apiv1.QuarantineNews) error {
	if l, c, v := len(m.GetLosses()), len(m.GetCleared()), len(m.GetVerdicts()); l > MaxLossesPerMessage || c > MaxClearedPerMessage || v > MaxVerdictsPerMessage {
		return eris.Errorf("%d losses, %d cleared suspects and %d verdicts exceed the limits of a message", l, c, v)
	}
	for _, l := range m.GetLosses() {
		parts, requests := len(l.GetParts()), len(l.GetRequests())
		if parts > MaxPartsPerMessage || requests > MaxRequestsPerMessage {
			return eris.Errorf("a loss with %d parts and %d requests exceeds the limits", parts, requests)
		}
		if times := len(l.GetSentBeforeMs()); times != requests {
			return eris.Errorf("a loss with %d requests has %d times", requests, times)
		}
		if copies := len(l.GetCopies()); copies != 0 && copies != requests {
			return eris.Errorf("a loss with %d requests has %d copies", requests, copies)
		}
		if l.GetAgeMs() < 0 {
			return eris.New("the age of a loss is negative")
		}
	}
	for _, c := range m.GetCleared() {
		if c.GetAgeMs() < 0 {
			return eris.New("the age of a cleared suspect is negative")
		}
	}
	for _, v := range m.GetVerdicts() {
		switch {
		case len(v.GetCompanions()) > MaxCompanions:
			return eris.Errorf("a verdict with %d companions exceeds the limit", len(v.GetCompanions()))
		case v.GetGeneration() == 0 || v.GetState() > uint32(Quarantined):
			return eris.Errorf("a verdict has generation %d and state %d", v.GetGeneration(), v.GetState())
		case v.GetAgeMs() < 0 || v.GetTermMs() < 0 || v.GetTrialAgeMs() < 0:
			return eris.New("a time of a verdict is negative")
		}
	}
	return nil
}
