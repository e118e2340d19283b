// Package recorder records at all core hosts which release began a stream, and finds the
// record of a stream that a caller takes up.
package recorder

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

const (
	// maxRecords bounds the records that this host keeps, and those that wait for their
	// storage.
	maxRecords = 1 << 16
	// reconnectDelay is the pause before a stream is opened again on the same connection.
	reconnectDelay = 150 * time.Millisecond
)

// Recorder keeps the records of an edge host and sends them to all connected core hosts.
// It implements feed.ConnectionUser and is safe for concurrent use.
type Recorder struct {
	log         *logrus.Entry
	sent        metrics.Counter // records sent, for each core host
	stored      metrics.Counter // records stored by at least one core host
	dropped     metrics.Counter // records dropped, or no longer waited for, because there were too many
	unconfirmed metrics.Counter // calls of Find that ended as Unconfirmed
	ownOnly     metrics.Counter // calls of Find that ended as Recorded by the record of this host alone

	mu         sync.Mutex // guards the fields below and those of the links
	table      *streamrecord.Records
	links      map[*link]bool
	unstored   []*delivery // oldest first; includes some that are stored
	lastNumber uint64      // of a query
	// needsAnswer is set while the records of this host alone say nothing, see
	// RequireAnswer.
	needsAnswer bool
}

// delivery is a record on its way to the core hosts.
type delivery struct {
	record   streamrecord.Record
	done     chan struct{} // closed when a core host has stored the record; nil if nobody waits
	isStored bool
}

// New returns a Recorder without records.
func New(log *logrus.Entry, r metrics.Registry) *Recorder {
	return &Recorder{
		log:         log,
		sent:        metrics.GetOrRegisterCounter("edge.streamrecords.sent", r),
		stored:      metrics.GetOrRegisterCounter("edge.streamrecords.stored", r),
		dropped:     metrics.GetOrRegisterCounter("edge.streamrecords.dropped", r),
		unconfirmed: metrics.GetOrRegisterCounter("edge.streamrecords.unconfirmed", r),
		ownOnly:     metrics.GetOrRegisterCounter("edge.streamrecords.own_only", r),
		table:       streamrecord.NewRecords(maxRecords),
		links:       map[*link]bool{},
	}
}

// Record keeps a record and sends it to all core hosts, at once if it is urgent. The
// channel is closed when the first core host has stored it; it stays open if none does
// before the record expires, so the caller must not wait without a limit.
func (r *Recorder) Record(record streamrecord.Record, urgent bool) <-chan struct{} {
	now := time.Now()
	d := &delivery{record: record, done: make(chan struct{})}
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.table.Dropped()
	r.table.Put(now, record)
	r.dropped.Inc(int64(r.table.Dropped() - before))
	r.addUnstored(now, d)
	for l := range r.links {
		l.enqueue(d, urgent)
	}
	return d.done
}

// Announce gives the streams of a process that has announced itself their release, and returns
// how many there are. The core hosts hear the announcement too.
func (r *Recorder) Announce(p streamrecord.Process, id release.ID) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Announce(time.Now(), p, id)
}

// RequireAnswer makes the records of this host count only once a core host has answered
// too, until one replies to what is sent from now on. A host that stood still has missed
// what happened meanwhile: the core hosts may know that a release is in doubt, and servers
// may have been replaced.
func (r *Recorder) RequireAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.needsAnswer = true
	for l := range r.links {
		l.sentBefore = l.number
	}
}

// addUnstored remembers a delivery until it is stored, for the core hosts that connect
// later. Records have about the same lifetime, so the oldest ones expire first. It
// requires mu.
func (r *Recorder) addUnstored(now time.Time, d *delivery) {
	for len(r.unstored) > 0 && (r.unstored[0].isStored || !r.unstored[0].record.Expires.After(now)) {
		r.unstored = r.unstored[1:]
	}
	if len(r.unstored) >= maxRecords {
		r.unstored = r.unstored[1:]
		r.dropped.Inc(1)
	}
	r.unstored = append(r.unstored, d)
}

// setStored closes the channel of a delivery that a core host has stored. It requires
// mu.
func (r *Recorder) setStored(d *delivery) {
	if d.isStored || d.done == nil {
		return
	}
	d.isStored = true
	close(d.done)
	r.stored.Inc(1)
}

// UseConnection implements feed.ConnectionUser. It keeps a stream to the core host at
// the address until ctx ends.
func (r *Recorder) UseConnection(ctx context.Context, address string, conn *grpc.ClientConn) {
	wasConnected := true
	for ctx.Err() == nil {
		isConnected, err := r.runStream(ctx, conn)
		if ctx.Err() == nil && (isConnected || wasConnected) { // not for each attempt
			r.log.WithError(err).WithField("core", address).Warn("stream of records to core host ended")
		}
		wasConnected = isConnected
		select {
		case <-ctx.Done():
		case <-time.After(reconnectDelay):
		}
	}
}

// addLink connects a core host. It is sent all live records, because it may have
// restarted.
func (r *Recorder) addLink(l *link) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.unstored {
		if !d.isStored {
			l.upload = append(l.upload, d)
		}
	}
	for _, record := range r.table.Live(now) {
		l.upload = append(l.upload, &delivery{record: record})
	}
	r.links[l] = true
}

// removeLink ends the use of a core host and reports whether it ever replied.
func (r *Recorder) removeLink(l *link) (wasConnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
	for _, f := range l.open {
		f.lost(l)
	}
	clear(l.open)
	return l.isConnected
}
