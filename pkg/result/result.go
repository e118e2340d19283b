// Package result defines the numbered result codes of all programs, what each
// one says about the execution of a request, and the error type that carries
// them. docs/results.md has the same table for operators.
package result

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Code is a numbered result. The hundreds group the codes: 1xx the request has
// not run, 2xx it may have run, 3xx it ran, 4xx operator commands, 5xx storage
// and settings.
type Code uint32

// Result codes of requests.
const (
	OK Code = 0

	InvalidRequest      Code = 101
	Unauthenticated     Code = 102
	UnknownWorkspace    Code = 103
	UnknownClass        Code = 104
	UnknownModel        Code = 105
	TargetUnreachable   Code = 106
	WaitExpired         Code = 107
	QueueFull           Code = 108
	RateLimited         Code = 109
	DataCentreOut       Code = 110
	NoConfiguration     Code = 111
	ShuttingDown        Code = 112
	ControlUnavailable  Code = 113
	TooLarge            Code = 114
	NoServer            Code = 115
	KeyConflict         Code = 116
	KeyTableFull        Code = 117
	ConnectFailed       Code = 118
	CallerLeftWaiting   Code = 119
	AnnouncementRefused Code = 120
	OwnerUnavailable    Code = 121
	UnknownRoute        Code = 122
	HeadersTooLarge     Code = 123
	DeadlinePassed      Code = 124
	HostBusy            Code = 125
	PartQuarantined     Code = 126
	RequestQuarantined  Code = 127
	StreamUnknown       Code = 128
	RecordsUnread       Code = 129
	ReleaseGone         Code = 130
	ReleaseFull         Code = 131

	OutcomeUnknown   Code = 201
	StillRunning     Code = 202
	StreamBroken     Code = 203
	ServerSilent     Code = 204
	CallerLeft       Code = 205
	IdentityMismatch Code = 206
	ReleaseChanged   Code = 207

	StoredAnswer   Code = 301
	ServerError    Code = 302
	AnswerTooLarge Code = 303
)

// Result codes of operator commands.
const (
	RevisionConflict Code = 401
	NotLeader        Code = 402
	NoQuorum         Code = 403
	NotFound         Code = 404
	MemberPending    Code = 406
	NotCaughtUp      Code = 407
	CommandReused    Code = 408
	InvalidCommand   Code = 409
	NotAuthorized    Code = 410
	FenceStale       Code = 411
)

// Result codes of storage and settings.
const (
	LogDamaged      Code = 501
	DiskFull        Code = 502
	FolderLocked    Code = 503
	InvalidSettings Code = 504
	SyncFailed      Code = 505
)

// Executed states what is known about whether a request ran.
type Executed string

// Values of Executed, as sent in the Jackdawtrack-Executed header.
const (
	ExecutedNo    Executed = "no"
	ExecutedMaybe Executed = "maybe"
	ExecutedYes   Executed = "yes"
)

// Executed returns what the code states about whether the request ran. The
// result is meaningful for OK and for codes below 400.
func (c Code) Executed() Executed {
	switch {
	case c == OK || c/100 == 3:
		return ExecutedYes
	case c/100 == 2:
		return ExecutedMaybe
	default:
		return ExecutedNo
	}
}

// Entry is one row of the result table.
type Entry struct {
	Code   Code
	Name   string
	Status int // HTTP status sent to callers, 0 if callers never get the code
	Help   string
}

// Lookup returns the table row of a code, and false if there is none.
func Lookup(c Code) (Entry, bool) {
	e, ok := byCode[c]
	return e, ok
}

// Status returns the HTTP status of the code, 500 if it has none.
func (c Code) Status() int {
	if e, ok := byCode[c]; ok && e.Status != 0 {
		return e.Status
	}
	return 500
}

// String returns the number and name of the code, or only the number if the code
// is not in the table.
func (c Code) String() string {
	if e, ok := byCode[c]; ok {
		return fmt.Sprintf("%d %s", uint32(c), e.Name)
	}
	return fmt.Sprintf("%d", uint32(c))
}

// Error is an error with a result code.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // time after which the caller should retry, 0 if not stated
	Cause      error
}

// New returns an Error with a formatted message and no cause.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a formatted message and a cause. The cause records
// the stack of this call, which FormatWithStack prints.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	message := fmt.Sprintf(format, args...)
	return &Error{Code: code, Message: message, Cause: eris.Wrap(cause, message)}
}

// FormatWithStack returns the message of an error with the stack of its cause,
// for debug logs.
func FormatWithStack(err error) string { return eris.ToString(err, true) }

// WithRetryAfter sets the time after which the caller should retry and returns
// the error.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the code, the message and the cause if there is one.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s: %v", e.Code, e.Cause) // the text of the cause begins with the message
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Unwrap returns the cause, nil if there is none.
func (e *Error) Unwrap() error { return e.Cause }

// CodeOf returns the code of the first Error in the chain, and false if there
// is none.
func CodeOf(err error) (Code, bool) {
	var e *Error
	if errors.As(err, &e) {
		return e.Code, true
	}
	return OK, false
}
