package recorder

import (
	"context"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/streamrecord"
)

// findTimeout bounds the wait for the answers of the core hosts. A caller waits
// meanwhile.
const findTimeout = 300 * time.Millisecond

// find is a call of Find that waits for core hosts. Recorder.mu guards its fields except
// result.
type find struct {
	result  chan streamrecord.Answer // capacity 1
	best    *streamrecord.Answer     // that names a release, nil if there is none yet
	own     *streamrecord.Answer     // record of this host that counts once a core host has answered, nil if there is none
	waiting map[*link]bool           // core hosts that have not answered
	unknown bool                     // at least one answered Unknown
	isLost  bool                     // at least one was lost before its answer
	isNamed bool                     // at least one has a record of a release
	isOver  bool
}

// Find returns which release began a stream. It looks at the records of this host and
// asks all connected core hosts at the same time. A conflict is final. A release is
// final after conflictTime or when all have answered, because another one may know of a
// conflict: of an id that began streams at two hosts each has recorded its own. After
// RequireAnswer the record of this host counts from the first answer on. Unknown means
// that all of them have answered, and Unconfirmed that some did not or could not. The
// number of the query is not used.
func (r *Recorder) Find(ctx context.Context, q streamrecord.Query) (release.ID, streamrecord.State) {
	f := &find{result: make(chan streamrecord.Answer, 1), waiting: map[*link]bool{}}
	r.mu.Lock()
	switch id, state := r.table.Get(time.Now(), q.Key); state {
	case streamrecord.Unknown:
	case streamrecord.Recorded:
		own := streamrecord.Answer{State: state, Release: id}
		if r.needsAnswer {
			f.own = &own
		} else {
			r.setBest(f, own)
		}
	default:
		r.mu.Unlock()
		return id, state
	}
	r.lastNumber++
	q.Number = r.lastNumber
	for l := range r.links {
		f.ask(l, q)
	}
	f.finishIfAllAnswered()
	r.mu.Unlock()
	a := r.await(ctx, f, q.Number)
	if a.State == streamrecord.Unconfirmed {
		r.unconfirmed.Inc(1)
	}
	return a.Release, a.State
}

// await returns the result of f, Unconfirmed if there is none in time, and withdraws the
// queries that are not answered.
func (r *Recorder) await(ctx context.Context, f *find, number uint64) streamrecord.Answer {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	a := streamrecord.Answer{State: streamrecord.Unconfirmed}
	select {
	case a = <-f.result:
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range f.waiting {
		delete(l.open, number)
	}
	if a.State == streamrecord.Recorded && !f.isNamed {
		r.ownOnly.Inc(1)
	}
	return a
}

// ask sends the query to a core host. One that has too many open queries counts as
// lost.
func (f *find) ask(l *link, q streamrecord.Query) {
	if len(l.open) >= maxOpenQueries || len(l.queries) >= maxOpenQueries {
		f.isLost = true
		return
	}
	f.waiting[l] = true
	l.open[q.Number] = f
	l.queries = append(l.queries, q)
	l.wakeUp()
}

// conflictTime bounds the wait for a conflict after the first answer that names a
// release. It covers a round trip to a core host of another data centre.
const conflictTime = 5 * time.Millisecond

// setBest records an answer that names a release. It requires Recorder.mu.
func (r *Recorder) setBest(f *find, a streamrecord.Answer) {
	switch {
	case f.best == nil:
		f.best = &a
		time.AfterFunc(conflictTime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			f.finish(*f.best)
		})
	case a.State == streamrecord.Recorded && f.best.State == streamrecord.Recorded && a.Release != f.best.Release:
		f.finish(streamrecord.Answer{State: streamrecord.Conflict})
	case a.State == streamrecord.Recorded:
		f.best = &a // a record says more than the history
	}
}

// answered handles the answer of a core host. It requires Recorder.mu.
func (r *Recorder) answered(f *find, l *link, a streamrecord.Answer) {
	delete(f.waiting, l)
	if f.own != nil && a.State != streamrecord.Conflict {
		r.setBest(f, *f.own)
		f.own = nil
	}
	switch a.State {
	case streamrecord.Conflict:
		f.finish(a)
	case streamrecord.Recorded, streamrecord.Sole:
		f.isNamed = f.isNamed || a.State == streamrecord.Recorded
		r.setBest(f, a)
	case streamrecord.Unknown:
		f.unknown = true
	}
	f.finishIfAllAnswered()
}

// lost handles the loss of a core host before its answer.
func (f *find) lost(l *link) {
	delete(f.waiting, l)
	f.isLost = true
	f.finishIfAllAnswered()
}

func (f *find) finishIfAllAnswered() {
	if len(f.waiting) > 0 {
		return
	}
	a := streamrecord.Answer{State: streamrecord.Unconfirmed}
	switch {
	case f.best != nil:
		a = *f.best
	case f.unknown && !f.isLost:
		a.State = streamrecord.Unknown
	}
	f.finish(a)
}

func (f *find) finish(a streamrecord.Answer) {
	if !f.isOver {
		f.isOver = true
		f.result <- a
	}
}
