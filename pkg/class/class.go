// Package class holds the aggregate Class: the targets that operators state
// for a kind of work, and the rules that follow from them.
package class

import (
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Limits of the values that operators may state.
const (
	MaxNameLength      = 64
	MaxDurationAllowed = 24 * time.Hour
	DefaultObjective   = 0.95

	defaultProgressTimeout = 15 * time.Second
	defaultMaxDuration     = 10 * time.Minute
)

// Class is the target of a kind of work. A zero duration means "not set".
type Class struct {
	Name            string
	FirstToken      time.Duration // arrival to first token of the answer
	TokenInterval   time.Duration // mean time between tokens
	Answer          time.Duration // arrival to whole answer, plain services
	MayWait         bool          // false: refuse when the target cannot be met
	MaxWait         time.Duration // longest time in the queue if MayWait
	MayRunTwice     bool          // false: at most one execution
	ProgressTimeout time.Duration // longest silence of a running answer
	MaxDuration     time.Duration // longest running time
	Objective       float64       // share of requests that must meet the target
}

// Normalize fills unset values with defaults.
func (c Class) Normalize() Class {
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

// Validate reports the first value that is out of range as InvalidCommand.
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
	if c.Target() == 0 && !c.MayWait {
		return result.New(result.InvalidCommand, "class %s: a class that may not wait needs a first token or answer target", c.Name)
	}
	if !(c.Objective >= 0 && c.Objective < 1) { // also refuses NaN
		return result.New(result.InvalidCommand, "class %s: objective %g is outside 0 to 1", c.Name, c.Objective)
	}
	return nil
}

// Target returns the time from arrival by which the request must have
// started to answer (first token) or have answered (plain services).
func (c Class) Target() time.Duration {
	if c.FirstToken > 0 {
		return c.FirstToken
	}
	return c.Answer
}

// LongestWait returns how long a request may stay in a queue.
func (c Class) LongestWait() time.Duration {
	if c.MayWait {
		return c.MaxWait
	}
	return c.Target()
}

// Deadline returns the time by which a request that arrived then should start
// to answer. A class without a target uses its longest wait.
func (c Class) Deadline(arrived time.Time) time.Time {
	if t := c.Target(); t > 0 {
		return arrived.Add(t)
	}
	return arrived.Add(c.LongestWait())
}

// ValidName reports whether a name has only letters, digits, '-', '_' and '.',
// and between 1 and MaxNameLength of them.
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
