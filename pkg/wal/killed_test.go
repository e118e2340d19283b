package wal

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a host that confirms what a killed process wrote without a sync, and loses
// it with the power: an entry, a hard state, a segment, a snapshot, and the first files.
func TestWhatOpenFindsSurvivesPowerFailure(t *testing.T) {
	for name, write := range map[string]func(l *Log){
		"entry": func(l *Log) {
			l.Append(entryRecord(9, 1, "not synced"))
			_ = l.Sync()
		},
		"hard state": func(l *Log) {
			l.Append(Record{Kind: KindHardState, Data: []byte("term and vote")})
			_ = l.Sync()
		},
		"snapshot": func(l *Log) { _ = l.SaveSnapshot(Snapshot{Index: 5, Term: 1, Data: []byte("state")}) },
		"segment":  func(l *Log) { _ = l.Compact(0) },
	} {
		for syncs := range 4 {
			t.Run(fmt.Sprintf("%s after %d syncs", name, syncs), func(t *testing.T) {
				for seed := range uint64(30) {
					d := newMemDisk()
					l, _ := mustOpen(t, d)
					appendEntries(t, l, 1, 8)
					d.syncsLeft = syncs // the process is killed in the sync after that
					write(l)
					d.locked, d.syncsLeft = false, -1
					_, found := mustOpen(t, d)
					d.powerFailure(rand.New(rand.NewPCG(seed, 1)))
					_, left := mustOpen(t, d)
					assert.DeepEqual(t, left, found)
				}
			})
		}
	}
	for syncs := range 6 {
		d := newMemDisk()
		d.syncsLeft = syncs
		_, _, _ = openLog(d)
		d.locked, d.syncsLeft = false, -1
		_, found := mustOpen(t, d)
		d.powerFailure(rand.New(rand.NewPCG(uint64(syncs), 1)))
		_, left := mustOpen(t, d)
		assert.DeepEqual(t, left, found)
	}
}

// Guards against an Open that reports content although its sync has failed.
func TestOpenFailsIfWhatItFindsCannotBeSynced(t *testing.T) {
	d := newMemDisk()
	l, _ := mustOpen(t, d)
	appendEntries(t, l, 1, 3)
	assert.NilError(t, l.Close())
	for syncs := range 3 {
		d.syncsLeft = syncs
		_, _, err := openLog(d)
		assert.Assert(t, err != nil, "after %d syncs", syncs)
		d.locked = false
	}
}
