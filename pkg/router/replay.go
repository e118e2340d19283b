package router

import (
	"sync"
	"time"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
)

const (
	// replayRetention is longer than the time in which a message can be lost: a
	// broken stream is detected after 3 s, and a lost owner is replaced after
	// about 2 s.
	replayRetention = 15 * time.Second
	// maxReplayMessages limits the memory of the log.
	maxReplayMessages = 1 << 17
)

// loggedMessage is a settle or a loan return, which frees slots.
type loggedMessage struct {
	sentAt   time.Time
	shard    pool.ShardID // receiver
	envelope *apiv1.Envelope
}

// replayLog keeps the settles and loan returns of the last replayRetention.
// They are sent again to a new owner and after a reconnect, because a lost one
// would leave its slot occupied. Owners ignore duplicates.
type replayLog struct {
	mu   sync.Mutex
	list []loggedMessage // oldest first
}

func (l *replayLog) add(now time.Time, shard pool.ShardID, envelope *apiv1.Envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := 0
	for expired < len(l.list) && (now.Sub(l.list[expired].sentAt) > replayRetention || len(l.list)-expired >= maxReplayMessages) {
		expired++
	}
	l.list = append(l.list[expired:], loggedMessage{sentAt: now, shard: shard, envelope: envelope})
}

// forShard returns the messages for a shard, oldest first.
func (l *replayLog) forShard(shard pool.ShardID) []*apiv1.Envelope {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*apiv1.Envelope
	for _, m := range l.list {
		if m.shard == shard {
			out = append(out, m.envelope)
		}
	}
	return out
}

// shards returns the shards that have messages in the log.
func (l *replayLog) shards() map[pool.ShardID]struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[pool.ShardID]struct{})
	for _, m := range l.list {
		out[m.shard] = struct{}{}
	}
	return out
}

// sendWithReplay logs a message and sends it to the owner of the shard.
func (r *Router) sendWithReplay(shard pool.ShardID, envelope *apiv1.Envelope) {
	r.replays.add(time.Now(), shard, envelope)
	r.sendToOwner(shard, envelope)
}

// replayShard sends the logged messages of a shard to its current owner.
func (r *Router) replayShard(shard pool.ShardID) {
	for _, envelope := range r.replays.forShard(shard) {
		if r.localShard(shard) != nil {
			r.receiveFromAnyDataCentre(r.self, envelope)
			r.receiveFromSameDataCentre(r.self, envelope)
			continue
		}
		r.sendToOwner(shard, envelope)
	}
}
