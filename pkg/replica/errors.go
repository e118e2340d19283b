package replica

import (
	"errors"
	"fmt"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// LeaderHint is the cause of a NotLeader error and names the leader.
type LeaderHint struct {
	ID      uint64
	Address string
}

// Error implements error.
func (h *LeaderHint) Error() string { return fmt.Sprintf("leader %d at %s", h.ID, h.Address) }

// LeaderAddress returns the leader's address from a NotLeader error, "" if err
// names no leader.
func LeaderAddress(err error) string {
	var h *LeaderHint
	if errors.As(err, &h) {
		return h.Address
	}
	return ""
}

// errNotLeader returns NotLeader with the leader as a hint, or NoQuorum if no
// leader is known.
func errNotLeader(id uint64, address string) error {
	if id == 0 || address == "" {
		return result.New(result.NoQuorum, "no leader is known, the request was not accepted")
	}
	return result.Wrap(result.NotLeader, &LeaderHint{ID: id, Address: address}, "this control host is not the leader, the leader is at %s", address)
}

// errOutcomeUnknown returns the error for a command that may still be committed.
func errOutcomeUnknown(cause error) error {
	const message = "the outcome of the command is unknown: resend it with the same command id"
	if cause == nil {
		return result.New(result.NoQuorum, message)
	}
	return result.Wrap(result.NoQuorum, cause, message)
}

// errReadTimeout returns the error for a read that ended with the context, or
// errStopping if cause is nil.
func errReadTimeout(cause error) error {
	if cause == nil {
		return errStopping
	}
	return result.Wrap(result.NoQuorum, cause, "the read was not confirmed by a majority in time")
}

var errStopping = result.New(result.NoQuorum, "this control host is stopping, the request was not accepted")
