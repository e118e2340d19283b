// Package burn measures how fast each class and workspace uses its error
// budget. Every router records its own requests in bounded memory; reports of
// several routers merge into one.
package burn

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Cause is the main cause of a missed target.
type Cause string

// Causes of misses, in the order of the report.
const (
	CauseWaiting    Cause = "waiting"
	CauseRefusal    Cause = "refusal"
	CauseServer     Cause = "server"
	CauseDataCentre Cause = "data_centre_change"
)

// Causes lists every cause.
var Causes = [...]Cause{CauseWaiting, CauseRefusal, CauseServer, CauseDataCentre}

// dataCentreChangeEffect is how long after a data centre went out or came back
// misses are put down to the change: cold limits ramp up within this time.
const dataCentreChangeEffect = 60 * time.Second

// Sample is one finished request.
type Sample struct {
	Class         class.Class
	Workspace     string
	Code          result.Code
	Waited        time.Duration // arrival to dispatch
	FirstByte     time.Duration // arrival to first byte of the answer, 0 if none
	Total         time.Duration // arrival to end of the answer
	TokenInterval time.Duration // mean over the answer, 0 if unknown
	CallerLeft    bool
	// SinceDataCentreChange is the time since a data centre last went out or
	// came back, 0 if none did since the router started.
	SinceDataCentreChange time.Duration
}

// Verdict is the judgement on one request.
type Verdict struct {
	Counted bool // false for requests that say nothing about the service
	Missed  bool
	Cause   Cause // set if Missed
}

// Judge compares a request with the target of its class. Requests that the
// caller broke off or that were invalid are not counted.
func Judge(s Sample) Verdict {
	if s.CallerLeft || isCallerFault(s.Code) {
		return Verdict{}
	}
	if !missed(s) {
		return Verdict{Counted: true}
	}
	return Verdict{Counted: true, Missed: true, Cause: causeOf(s)}
}

func isCallerFault(code result.Code) bool {
	switch code {
	case result.InvalidRequest, result.Unauthenticated, result.UnknownWorkspace,
		result.UnknownClass, result.UnknownModel, result.RateLimited, result.TooLarge,
		result.KeyConflict, result.StillRunning, result.CallerLeft, result.CallerLeftWaiting:
		return true
	default:
		return false
	}
}

func missed(s Sample) bool {
	if s.Code != result.OK && s.Code != result.StoredAnswer {
		return true
	}
	c := s.Class
	switch {
	case c.FirstToken > 0 && s.FirstByte > c.FirstToken:
		return true
	case c.TokenInterval > 0 && s.TokenInterval > c.TokenInterval:
		return true
	case c.Answer > 0 && s.Total > c.Answer:
		return true
	default:
		return false
	}
}

func causeOf(s Sample) Cause {
	changed := s.SinceDataCentreChange > 0 && s.SinceDataCentreChange < dataCentreChangeEffect
	switch {
	case changed || s.Code == result.DataCentreOut:
		return CauseDataCentre
	case s.Code != result.OK && s.Code.Executed() == result.ExecutedNo && s.Code != result.ConnectFailed:
		return CauseRefusal
	case s.Code != result.OK:
		return CauseServer
	case s.Class.Target() > 0 && s.Waited > s.Class.Target()/2:
		return CauseWaiting
	default:
		return CauseServer
	}
}
