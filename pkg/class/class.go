// Package class defines Class: the targets that operators set for a kind of
// request, and the deadlines that follow from them.
package class

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Limits and defaults of the fields of a Class.
const (
	MaxNameLength      = 64             // bytes, also for other names that operators choose
	MaxDurationAllowed = 24 * time.Hour // of every duration
	DefaultObjective   = 0.95

	defaultProgressTimeout = 15 * time.Second
	defaultMaxDuration     = 10 * time.Minute
)

// Class holds the targets and limits of a kind of request. A duration of 0 is not
// set.
type Class struct {
	Name            string
	FirstToken      time.Duration // target from arrival to the first token, model engines
	TokenInterval   time.Duration // target of the mean time between tokens
	Answer          time.Duration // target from arrival to the complete answer, plain services
	MayWait         bool          // false: refuse a request that cannot meet the target
	MaxWait         time.Duration // longest time in the queue if MayWait
	MayRunTwice     bool          // false: execute a request at most once
	ProgressTimeout time.Duration // longest time without progress of a running answer
	MaxDuration     time.Duration // longest running time
	Objective       float64       // fraction of requests that must meet the target
}

// WithDefaults returns the class with defaults for values that are not set.
func (c Class) WithDefaults() Class {
	if c.ProgressTimeout == 0 {
		c.ProgressTimeout = defaultProgressTimeout
	}
	if c.MaxDuration == 0 {
		c.MaxDuration = defaultMaxDuration
	}
	if c.MayWait && c.MaxWait == 0 {
		c.MaxWait = c.MaxDuration
	}
	if c.Objective == 0 {
		c.Objective = DefaultObjective
	}
	return c
}

// Validate returns the first value that is out of range as an InvalidCommand
// error.
func (c Class) Validate() error {
	if !ValidName(c.Name) {
		return result.New(result.InvalidCommand, "class name %q: 1 to %d letters, digits, '-', '_' or '.'", c.Name, MaxNameLength)
	}
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"first token target", c.FirstToken},
		{"token interval target", c.TokenInterval},
		{"answer target", c.Answer},
		{"longest wait", c.MaxWait},
		{"progress timeout", c.ProgressTimeout},
		{"longest duration", c.MaxDuration},
	} {
		if d.value < 0 || d.value > MaxDurationAllowed {
			return result.New(result.InvalidCommand, "class %s: %s %s is outside 0 to %s", c.Name, d.field, d.value, MaxDurationAllowed)
		}
	}
	if c.ResponseTarget() == 0 && !c.MayWait {
		return result.New(result.InvalidCommand, "class %s: a class that may not wait needs a first token or answer target", c.Name)
	}
	if !(c.Objective >= 0 && c.Objective < 1) { // also true for NaN
		return result.New(result.InvalidCommand, "class %s: objective %g is outside 0 to 1", c.Name, c.Objective)
	}
	return nil
}

// ResponseTarget returns the longest time from arrival to the first token
// (model engines) or to the complete answer (plain services) that meets the
// target, 0 if neither is set.
func (c Class) ResponseTarget() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Answer
}

// LongestWait returns how long a request may wait in the queue.
func (c Class) LongestWait() time.Duration {
	if c.MayWait {
		return c.MaxWait
	}
	return c.ResponseTarget()
}

// Deadline returns the time by which a request with the given arrival time should
// meet its target. In a class without a target it is the end of the longest wait.
func (c Class) Deadline(arrived time.Time) time.Time {
	if t := c.ResponseTarget(); t > 0 {
		return arrived.Add(t)
	}
	return arrived.Add(c.LongestWait())
}

// ValidName reports whether a name consists of 1 to MaxNameLength ASCII letters,
// digits, '-', '_' and '.'.
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, r := range name {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		case r == '-', r == '_', r == '.':
		default:
			return false
		}
	}
	return true
}
