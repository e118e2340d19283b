package quarantine

import (
	"strconv"
	"time"
)

// Status is the JSON form of a verdict for operators.
type Status struct {
	Kind       string   `json:"kind"`              // part or request
	Suspect    string   `json:"suspect"`           // hexadecimal, as in prompts and logs
	Request    string   `json:"request,omitempty"` // method, path and workspace, if this host refused it
	State      string   `json:"state"`
	Generation uint32   `json:"generation"`
	AgeMS      int64    `json:"age_ms"`
	TermMS     int64    `json:"term_ms"`      // from the verdict to the first trial
	TrialInMS  int64    `json:"trial_in_ms"`  // until the next trial may start, 0 if it may now
	Losses     int      `json:"losses"`       // servers that ended
	Hosts      int      `json:"hosts"`        // hosts that reported them
	Companions []string `json:"companions"`   // parts suspected with it
	Refusals   uint64   `json:"refusals"`     // at this host
	RefusedMS  int64    `json:"refused_ms"`   // time since the last refusal at this host, -1 if there was none
	ByThisHost bool     `json:"by_this_host"` // the verdict was made here
}

// Status returns the entry for operators.
func (e *Entry) Status(now time.Time) Status {
	s := Status{
		Kind: KindOf(e.Suspect), Suspect: FormatSuspect(e.Suspect), Request: e.Request, State: e.State.String(), Generation: e.Generation,
		AgeMS: now.Sub(e.Since).Milliseconds(), TermMS: e.Term.Milliseconds(), TrialInMS: max(e.TrialFrom.Sub(now).Milliseconds(), 0),
		Losses: e.Losses, Hosts: e.Hosts, Companions: []string{}, Refusals: e.Refusals, RefusedMS: -1, ByThisHost: e.Local,
	}
	for _, p := range e.Companions {
		s.Companions = append(s.Companions, FormatSuspect(p))
	}
	if !e.RefusedAt.IsZero() {
		s.RefusedMS = now.Sub(e.RefusedAt).Milliseconds()
	}
	return s
}

// FormatSuspect returns the suspect as in Status.
func FormatSuspect(suspect uint64) string { return strconv.FormatUint(suspect, 16) }

// ParseSuspect parses the result of FormatSuspect.
func ParseSuspect(text string) (uint64, error) { return strconv.ParseUint(text, 16, 64) }
