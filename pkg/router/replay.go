package router

import (
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// replayWindow covers the time in which a message can be lost: a silent
	// stream is found after 3 s, a lost owner is replaced after about 2 s.
	replayWindow = 15 * time.Second
	// maxReplay bounds the memory of the log.
	maxReplay = 1 << 17
)

// sent is a message that returns a slot.
type sent struct {
	at    time.Time
	shard pool.ShardID // that it is for
	e     *apiv1.Envelope
}

// replayLog keeps the settles and loan returns of the last replayWindow. They
// are sent again to a new owner and on a new stream, because a lost one would
// keep its slot occupied; a repeated one is ignored by its owner.
type replayLog struct {
	mu   sync.Mutex
	list []sent // oldest first
}

func (l *replayLog) add(now time.Time, shard pool.ShardID, e *apiv1.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := 0
	for old < len(l.list) && (now.Sub(l.list[old].at) > replayWindow || len(l.list)-old >= maxReplay) {
		old++
	}
	l.list = append(l.list[old:], sent{at: now, shard: shard, e: e})
}

// of returns the messages for one shard, oldest first.
func (l *replayLog) of(shard pool.ShardID) []*apiv1.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*apiv1.Envelope
	for _, s := range l.list {
		if s.shard == shard {
			out = append(out, s.e)
		}
	}
	return out
}

// shards returns the shards that the log has messages for.
func (l *replayLog) shards() map[pool.ShardID]struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[pool.ShardID]struct{})
	for _, s := range l.list {
		out[s.shard] = struct{}{}
	}
	return out
}

// sendLogged sends a message that returns a slot to the owner of the shard.
func (r *Router) sendLogged(shard pool.ShardID, e *apiv1.Envelope) {
	r.replays.add(time.Now(), shard, e)
	r.sendToOwner(shard, e)
}

// replay gives the logged messages of a shard to its present owner.
func (r *Router) replay(shard pool.ShardID) {
	for _, e := range r.replays.of(shard) {
		if r.local(shard) != nil {
			r.receiveRemote(r.self, e)
			r.receiveLocal(r.self, e)
			continue
		}
		r.sendToOwner(shard, e)
	}
}
