package router

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

const (
	// limitReportInterval is how often a limit that stays the same is reported to the
	// owner, which compares the times of statements. It is below the second for which a
	// limit counts beside higher ones.
	limitReportInterval = 500 * time.Millisecond
	// limitRetention is how long the last statement of a server is reported to new owners.
	limitRetention = 10 * time.Minute
	// sendAgainTimeout is longer than an owner lets a send wait.
	sendAgainTimeout = 3 * time.Second

	limitLogRate  = 1 // lines per second
	limitLogBurst = 20
)

// limitTable holds what answers that this router received have stated of the requests a
// second that their servers take. Only owners decide by it; a new one gets it from here.
type limitTable struct {
	mu     sync.Mutex
	byName map[string]*heardLimit // by server
}

// heardLimit is the last statement of a server.
type heardLimit struct {
	shard      pool.ShardID
	statement  pool.LimitStatement // with the ages 0
	at, sentAt time.Time           // when the answer came, and when its request was sent
	reportedAt time.Time
}

func newLimitTable() *limitTable { return &limitTable{byName: make(map[string]*heardLimit)} }

// note keeps a statement and reports whether the owner needs it.
func (t *limitTable) note(now, sentAt time.Time, shard pool.ShardID, st pool.LimitStatement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := t.byName[st.Server]
	next := &heardLimit{shard: shard, statement: st, at: now, sentAt: sentAt, reportedAt: now}
	if last != nil && last.statement.BootID == st.BootID && last.statement.Limited {
		if !st.Limited && !sentAt.After(last.at) {
			return false // written before the limit was stated
		}
		if st.Limited && st.PerSecond == last.statement.PerSecond && now.Sub(last.reportedAt) < limitReportInterval {
			next.reportedAt = last.reportedAt
		}
	}
	t.byName[st.Server] = next
	return next.reportedAt.Equal(now)
}

// isLimited reports whether the process of a server stated a limit in its last answer.
func (t *limitTable) isLimited(server string, bootID uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.byName[server]
	return l != nil && l.statement.BootID == bootID && l.statement.Limited
}

// forShard returns the statements of the servers of a shard, with their ages.
func (t *limitTable) forShard(now time.Time, shard pool.ShardID) []pool.LimitStatement {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []pool.LimitStatement
	for _, l := range t.byName {
		if l.shard == shard {
			st := l.statement
			st.Age, st.SentAge = now.Sub(l.at), now.Sub(l.sentAt)
			out = append(out, st)
		}
	}
	return out
}

// addShards adds the shards with statements to all.
func (t *limitTable) addShards(all map[pool.ShardID]struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range t.byName {
		all[l.shard] = struct{}{}
	}
}

// limitedCount returns the number of servers whose last answer stated a limit.
func (t *limitTable) limitedCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, l := range t.byName {
		if l.statement.Limited {
			n++
		}
	}
	return n
}

// removeExpired drops statements that are older than limitRetention.
func (t *limitTable) removeExpired(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, l := range t.byName {
		if now.Sub(l.at) > limitRetention {
			delete(t.byName, name)
		}
	}
}

// observeHead reports what the head of an answer states of the limit of its server. An
// answer without a limit matters only if the server was limited when it was granted.
func (r *Router) observeHead(shard pool.ShardID, g pool.Grant, h proxy.Head) {
	now := time.Now()
	stated, perSecond := backend.LimitOf(h.Header)
	switch {
	case stated == backend.MalformedLimit:
		r.limitCounters.malformed.Inc(1)
		if r.limitLogLimiter.Allow() {
			r.log.WithFields(logrus.Fields{"server": g.Server}).Warnf("header %s ignored: %.80q is not a number of requests per second", backend.HeaderLimit, h.Header[backend.HeaderLimit])
		}
		return
	case stated == backend.NoLimit && (!h.Matches || !g.Limited && !r.limits.isLimited(g.Server, g.BootID)):
		return
	}
	st := pool.LimitStatement{Server: g.Server, BootID: g.BootID, Limited: stated == backend.RequestLimit, PerSecond: perSecond, GrantID: g.GrantID, Epoch: g.Epoch}
	if r.limits.note(now, h.SentAt, shard, st) {
		st.SentAge = now.Sub(h.SentAt)
		r.reportLimit(shard, r.ownerName(shard), st)
	}
}

// reportLimit passes a statement to an owner of its shard.
func (r *Router) reportLimit(shard pool.ShardID, owner string, st pool.LimitStatement) {
	if owner == r.self.Name {
		r.receiveLimit(shard, st)
		return
	}
	r.send(owner, peer.LimitToEnvelope(shard, st))
}

// receiveLimit passes a statement to the owner of its shard at this router. It buffers the
// statement while this router may be the next owner.
func (r *Router) receiveLimit(shard pool.ShardID, st pool.LimitStatement) {
	if !r.applyIfOwner(shard, func(now time.Time, o *pool.Owner) { o.HandleLimitStatement(now, st) }) && shard.DataCentre == r.self.DataCentre {
		r.shardBuffers.addLimit(time.Now(), shard, st)
	}
}

// reportLimits passes all statements of the servers of a shard to a new owner.
func (r *Router) reportLimits(shard pool.ShardID, owner pool.RouterID) {
	for _, st := range r.limits.forShard(time.Now(), shard) {
		r.reportLimit(shard, owner.Name, st)
	}
}

// maySendAgain reports whether one more request may be sent to the server of a grant, such
// as for the rest of a broken stream. A server that has stated no limit takes it. Otherwise
// the owner decides, and lets it wait if wait is set.
func (r *Router) maySendAgain(ctx context.Context, q *request, shard pool.ShardID, g pool.Grant, wait bool) bool {
	if !g.Limited && !r.limits.isLimited(g.Server, g.BootID) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, sendAgainTimeout)
	defer cancel()
	a := q.newAsk(r.self, nil)
	a.Arrived, a.SendTo, a.TakesUp = time.Now(), g.Server, wait
	permit, refusal := r.acquireGrant(ctx, shard, a)
	switch {
	case refusal != nil:
	case permit.GrantID != 0: // an owner of an earlier version has granted a slot
		r.settle(shard, pool.Settle{GrantID: permit.GrantID, Epoch: permit.Epoch, Outcome: pool.OutcomeUnused})
	default:
		return true
	}
	r.limitCounters.sendsRefused.Inc(1)
	return false
}

// recordLimitChange counts and logs a change of the limit of a server.
func (r *Router) recordLimitChange(shard pool.ShardID, c pool.LimitChange) {
	text := "server limits its requests per second"
	switch {
	case c.EndedByStart:
		r.limitCounters.ended.Inc(1)
		text = "limit of the server ended with its process"
	case !c.IsLimited:
		r.limitCounters.ended.Inc(1)
		text = "limit of the server ended"
	case c.WasLimited:
		r.limitCounters.changed.Inc(1)
		text = "limit of the server changed"
	default:
		r.limitCounters.learnt.Inc(1)
	}
	if r.limitLogLimiter.Allow() {
		r.log.WithFields(logrus.Fields{"server": c.Server, "pool": shard.Pool, "before": c.Before, "per_second": c.PerSecond}).Info(text)
	}
}

func newLimitLogLimiter() *rate.Limiter { return rate.NewLimiter(limitLogRate, limitLogBurst) }

// limitCounters holds the metrics of the limits of servers. The owner of a pool counts
// changes, the router of a request the others.
type limitCounters struct {
	learnt, changed, ended, malformed, sendsRefused metrics.Counter
}

func newLimitCounters(reg metrics.Registry) limitCounters {
	return limitCounters{
		learnt:       metrics.NewRegisteredCounter("server_limits.learnt", reg),
		changed:      metrics.NewRegisteredCounter("server_limits.changed", reg),
		ended:        metrics.NewRegisteredCounter("server_limits.ended", reg),
		malformed:    metrics.NewRegisteredCounter("server_limits.malformed", reg),
		sendsRefused: metrics.NewRegisteredCounter("server_limits.sends_refused", reg),
	}
}
