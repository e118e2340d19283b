package quarantine

import "time"

// Status is the JSON form of a verdict for operators.
type Status struct {
	Part       string   `json:"part"` // suspect in hexadecimal, as in prompts and logs
	State      string   `json:"state"`
	Generation uint32   `json:"generation"`
	AgeMS      int64    `json:"age_ms"`
	TermMS     int64    `json:"term_ms"`      // from the verdict to the first trial
	TrialInMS  int64    `json:"trial_in_ms"`  // until the next trial may start, 0 if it may now
	Losses     int      `json:"losses"`       // servers that ended
	Hosts      int      `json:"hosts"`        // hosts that reported them
	Companions []string `json:"companions"`   // suspected with it
	Refusals   uint64   `json:"refusals"`     // at this host
	RefusedMS  int64    `json:"refused_ms"`   // time since the last refusal at this host, -1 if there was none
	ByThisHost bool     `json:"by_this_host"` // the verdict was made here
}

// NewStatus returns the status of a verdict.
func NewStatus(now time.Time, e Entry) Status {
	s := Status{
		Part: Format(e.Suspect), State: e.State.String(), Generation: e.Generation, AgeMS: now.Sub(e.Since).Milliseconds(), TermMS: e.Term.Milliseconds(),
		TrialInMS: max(e.TrialFrom.Sub(now).Milliseconds(), 0), Losses: e.Losses, Hosts: e.Hosts, Companions: []string{}, Refusals: e.Refusals, RefusedMS: -1, ByThisHost: e.Local,
	}
	for _, p := range e.Companions {
		s.Companions = append(s.Companions, Format(p))
	}
	if !e.RefusedAt.IsZero() {
		s.RefusedMS = now.Sub(e.RefusedAt).Milliseconds()
	}
	return s
}
