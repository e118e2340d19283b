package edge

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// sheddingLogTicks is the number of ticks that a line on shed requests covers.
	sheddingLogTicks = 10
	// sheddingLogWorkspaces bounds the workspaces of a line.
	sheddingLogWorkspaces = 5
)

// sheddingCounts counts the requests of a workspace at the load shedder of this host and
// the prompt tokens that they state.
type sheddingCounts struct {
	Workspace      string `json:"workspace"`
	Retries        int    `json:"retries"`
	Accepted       int    `json:"accepted"`
	AcceptedTokens int    `json:"accepted_tokens"`
	Refused        int    `json:"refused"`
	RefusedTokens  int    `json:"refused_tokens"`
}

func (c *sheddingCounts) requests() int { return c.Accepted + c.Refused }

// sheddingLog collects what the load shedder accepts and refuses between two log lines.
// The zero value is ready to use.
type sheddingLog struct {
	workspaces map[string]*sheddingCounts
	refused    int
	ticks      int
	cpuTime    time.Duration
}

// add counts the decision on a request.
func (l *sheddingLog) add(a *shedAttempt, refused bool) {
	c := l.workspaces[a.workspace]
	if c == nil {
		if l.workspaces == nil {
			l.workspaces = map[string]*sheddingCounts{}
		}
		c = &sheddingCounts{Workspace: a.workspace}
		l.workspaces[a.workspace] = c
	}
	if a.retry {
		c.Retries++
	}
	if refused {
		l.refused++
		c.Refused++
		c.RefusedTokens += a.promptTokens
		return
	}
	c.Accepted++
	c.AcceptedTokens += a.promptTokens
}

// tick adds the CPU time used in a tick. After sheddingLogTicks it starts over and returns
// the fields of a log line, nil if nothing was refused.
func (l *sheddingLog) tick(used time.Duration) logrus.Fields {
	l.cpuTime += used
	if l.ticks++; l.ticks < sheddingLogTicks {
		return nil
	}
	defer func() { *l = sheddingLog{} }()
	if l.refused == 0 {
		return nil
	}
	busiest := slices.SortedFunc(maps.Values(l.workspaces), func(a, b *sheddingCounts) int {
		return cmp.Or(cmp.Compare(b.requests(), a.requests()), cmp.Compare(a.Workspace, b.Workspace))
	})
	return logrus.Fields{
		"processor_ms": l.cpuTime.Milliseconds(), "active": len(busiest), "workspaces": busiest[:min(len(busiest), sheddingLogWorkspaces)],
	}
}
