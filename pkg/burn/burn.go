// Package burn measures how fast each class and workspace uses up its error
// budget. Each router records its own requests in bounded memory; the reports
// of several routers can be merged.
package burn

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/class"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Cause is the main cause of a missed target.
type Cause string

// Causes, in the order of the report.
const (
	CauseWaiting          Cause = "waiting"
	CauseRefusal          Cause = "refusal"
	CauseServer           Cause = "server"
	CauseDataCentreChange Cause = "data_centre_change"
)

// Causes lists all causes in the order of the report.
var Causes = [...]Cause{CauseWaiting, CauseRefusal, CauseServer, CauseDataCentreChange}

// dataCentreChangePeriod is how long after a data centre went out of service or
// came back misses are attributed to that change: cold limits ramp up within
// this time.
const dataCentreChangePeriod = 60 * time.Second

// RequestSample describes one finished request.
type RequestSample struct {
	Class         class.Class
	Workspace     string
	Code          result.Code
	QueueTime     time.Duration // from arrival to dispatch
	FirstByte     time.Duration // from arrival to the first byte of the answer, 0 if none
	Total         time.Duration // from arrival to the end of the answer
	TokenInterval time.Duration // mean over the answer, 0 if unknown
	CallerLeft    bool
	// SinceDataCentreChange is the time since a data centre last went out of
	// service or came back, 0 if none did since the router started.
	SinceDataCentreChange time.Duration
}

// Evaluation is the result of comparing one request with its target.
type Evaluation struct {
	Counted bool // false if the request says nothing about the service
	Missed  bool
	Cause   Cause // set if Missed
}

// Evaluate compares a request with the target of its class. Invalid requests
// and requests that the caller cancelled are not counted.
func Evaluate(s RequestSample) Evaluation {
	if s.CallerLeft || isCallerFault(s.Code) {
		return Evaluation{}
	}
	if !missesTarget(s) {
		return Evaluation{Counted: true}
	}
	return Evaluation{Counted: true, Missed: true, Cause: missCause(s)}
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

func missesTarget(s RequestSample) bool {
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

func missCause(s RequestSample) Cause {
	recentChange := s.SinceDataCentreChange > 0 && s.SinceDataCentreChange < dataCentreChangePeriod
	switch {
	case recentChange || s.Code == result.DataCentreOut:
		return CauseDataCentreChange
	case s.Code != result.OK && s.Code.Executed() == result.ExecutedNo && s.Code != result.ConnectFailed:
		return CauseRefusal
	case s.Code != result.OK:
		return CauseServer
	case s.Class.ResponseTarget() > 0 && s.QueueTime > s.Class.ResponseTarget()/2:
		return CauseWaiting
	default:
		return CauseServer
	}
}
