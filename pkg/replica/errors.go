package replica

import (
	"errors"
	"fmt"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// LeaderHint is the cause of NotLeader errors.
type LeaderHint struct {
	ID      uint64
	Address string
}

// Error implements error.
func (h *LeaderHint) Error() string { return fmt.Sprintf("leader %d at %s", h.ID, h.Address) }

// LeaderOf returns the leader's address from a NotLeader error, "" if the
// error names none.
func LeaderOf(err error) string {
	var h *LeaderHint
	if errors.As(err, &h) {
		return h.Address
	}
	return ""
}

func notLeader(id uint64, address string) error {
	if id == 0 || address == "" {
		return result.New(result.NoQuorum, "no leader is known; nothing was accepted")
	}
	return result.Wrap(result.NotLeader, &LeaderHint{ID: id, Address: address}, "ask the leader at %s", address)
}

// errUnknown is returned when the command may or may not be committed later.
func errUnknown(cause error) error {
	const message = "the fate of the command is unknown: resend it with the same command id"
	if cause == nil {
		return result.New(result.NoQuorum, message)
	}
	return result.Wrap(result.NoQuorum, cause, message)
}

func errReadLate(cause error) error {
	if cause == nil {
		return errClosed
	}
	return result.Wrap(result.NoQuorum, cause, "no majority confirmed the read in time")
}

var errClosed = result.New(result.NoQuorum, "this control host is stopping; nothing was accepted")
