package wal

import (
	"bytes"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	folder       = "data"
	segmentBytes = 400
	firstSeed    = 20260201
	ciSeeds      = 300
	ciSteps      = 60
)

func entry(index, term uint64, text string) Record {
	return Record{Kind: KindEntry, Index: index, Term: term, Data: []byte(text)}
}

func open(d *disk) (*Log, *Recovered, error) {
	return Open(folder, Options{FS: d, SegmentBytes: segmentBytes, NewIdentity: func() uint64 { return 77 }})
}

func mustOpen(t assert.TestingT, d *disk) (*Log, *Recovered) {
	l, r, err := open(d)
	assert.NilError(t, err)
	return l, r
}

func assertCode(t assert.TestingT, err error, want result.Code) {
	got, _ := result.CodeOf(err)
	assert.Equal(t, got, want, "%v", err)
}

func fill(t assert.TestingT, l *Log, first, last uint64) {
	for i := first; i <= last; i++ {
		l.Append(entry(i, 1, fmt.Sprint("entry ", i)))
		assert.NilError(t, l.Sync())
	}
}

// Guards against two processes that write to one folder.
func TestSecondOpenIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, r, err := Open(dir, Options{})
	assert.NilError(t, err)
	_, _, err = Open(dir, Options{})
	assertCode(t, err, result.FolderLocked)
	fill(t, l, 1, 3)
	assert.NilError(t, l.Close())
	l, again, err := Open(dir, Options{})
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, again.Identity, r.Identity)
	assert.Equal(t, len(again.Entries), 3)
}

// Guards against a damaged record that is skipped or that ends the log early:
// every bit before the last frame is checked.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	d := newDisk()
	l, _ := mustOpen(t, d)
	fill(t, l, 1, 30)
	assert.Assert(t, l.Segments() > 2)
	size := l.size
	fill(t, l, 31, 31)
	assert.NilError(t, l.Close())
	last := d.find(".log")
	for path, f := range d.names {
		end := int64(len(f.data))
		if path == last {
			end = size
		}
		for at := range end {
			f.data[at] ^= 1 << (at % 8)
			_, _, err := open(d)
			assertCode(t, err, result.LogDamaged)
			f.data[at] ^= 1 << (at % 8)
		}
	}
	l, r := mustOpen(t, d)
	assert.Equal(t, len(r.Entries), 31)
	l.Close()
	for path, f := range d.names {
		if path == last {
			continue
		}
		delete(d.names, path)
		_, _, err := open(d)
		assertCode(t, err, result.LogDamaged)
		d.names[path] = f
	}
}

// Guards against a log that works on after a failed sync: the content on disk
// is then unknown.
func TestSyncFailureIsFinal(t *testing.T) {
	d := newDisk()
	l, _ := mustOpen(t, d)
	fill(t, l, 1, 3)
	d.syncs = 0
	l.Append(entry(4, 1, "x"))
	assertCode(t, l.Sync(), result.SyncFailed)
	d.syncs = -1
	l.Append(entry(4, 1, "x"))
	assertCode(t, l.Sync(), result.SyncFailed)
	assertCode(t, l.SaveSnapshot(Snapshot{Index: 1}), result.SyncFailed)
	assertCode(t, l.Compact(1), result.SyncFailed)
}

// Guards against a full disk that loses accepted entries or keeps a part of a
// refused one, at every number of free bytes.
func TestFullDiskRefusesAndLosesNothing(t *testing.T) {
	for space := range int64(900) {
		d := newDisk()
		l, _ := mustOpen(t, d)
		fill(t, l, 1, 3)
		d.space = space
		accepted := uint64(3)
		for i := uint64(4); i < 30; i++ {
			l.Append(entry(i, 1, fmt.Sprint("entry ", i)))
			if err := l.Sync(); err != nil {
				assertCode(t, err, result.DiskFull)
				break
			}
			accepted = i
		}
		if err := l.SaveSnapshot(Snapshot{Index: 2, Data: make([]byte, 1000)}); err != nil {
			assertCode(t, err, result.DiskFull)
		}
		d.space = -1
		fill(t, l, accepted+1, accepted+2)
		d.powerFailure(rand.New(rand.NewPCG(1, 1)))
		_, r := mustOpen(t, d)
		assert.Equal(t, r.Entries[len(r.Entries)-1].Index, accepted+2)
		assert.Equal(t, len(r.Entries), int(accepted+2))
	}
}

// Guards against a folder that lost its identity or its log and then votes
// again.
func TestPartlyEmptiedFolderIsRefused(t *testing.T) {
	d := newDisk()
	l, _ := mustOpen(t, d)
	fill(t, l, 1, 2)
	l.Close()
	names := map[string]*inode{d.find(".log"): d.names[d.find(".log")], d.find(identityName): d.names[d.find(identityName)]}
	for path, f := range names {
		delete(d.names, path)
		_, _, err := open(d)
		assertCode(t, err, result.LogDamaged)
		d.names[path] = f
	}
}

// Guards against a folder that cannot be opened after a power failure while
// it was made.
func TestPowerFailureDuringFirstOpen(t *testing.T) {
	for seed := range uint64(200) {
		d := newDisk()
		d.syncs = int(seed % 5)
		if l, _, err := open(d); err == nil {
			l.Close()
		}
		d.syncs = -1
		d.powerFailure(rand.New(rand.NewPCG(firstSeed, seed)))
		l, _ := mustOpen(t, d)
		fill(t, l, 1, 1)
	}
}

func seeds(t *testing.T) int {
	if v := os.Getenv("JACKDAWTRACK_SOAK_SEEDS"); v != "" {
		n, err := strconv.Atoi(v)
		assert.NilError(t, err)
		return n
	}
	return ciSeeds
}

// model is what a correct log holds.
type model struct {
	snapshot Snapshot
	entries  []Record // after the snapshot
	state    []byte
}

func (m *model) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m *model) apply(records []Record) {
	for _, r := range records {
		switch r.Kind {
		case KindState:
			m.state = r.Data
		case KindReset:
			m.entries = nil
		case KindEntry:
			if r.Index > m.snapshot.Index {
				m.entries = append(m.entries[:r.Index-m.snapshot.Index-1:r.Index-m.snapshot.Index-1], r)
			}
		}
	}
}

func (m *model) equals(r *Recovered) bool {
	if r.Snapshot.Index != m.snapshot.Index || !bytes.Equal(r.Snapshot.Data, m.snapshot.Data) ||
		!bytes.Equal(r.State, m.state) || len(r.Entries) != len(m.entries) {
		return false
	}
	for i, e := range r.Entries {
		if w := m.entries[i]; e.Index != w.Index || e.Term != w.Term || !bytes.Equal(e.Data, w.Data) {
			return false
		}
	}
	return true
}

func (m model) clone() model {
	m.entries = append([]Record(nil), m.entries...)
	return m
}

// recovery drives the log against the model. A power failure during a write
// leaves either the state before or the state after it.
type recovery struct {
	d    *disk
	l    *Log
	m    model
	term uint64
	rng  *rand.Rand
}

func (c *recovery) batch(t *rapid.T) []Record {
	var records []Record
	first := c.m.last() + 1
	if len(c.m.entries) > 0 && rapid.Bool().Draw(t, "overwrite") {
		first = c.m.snapshot.Index + 1 + uint64(rapid.IntRange(0, len(c.m.entries)-1).Draw(t, "at"))
	}
	c.term++
	for i := range uint64(rapid.IntRange(0, 4).Draw(t, "entries")) {
		records = append(records, entry(first+i, c.term, fmt.Sprint(c.term, "-", i)))
	}
	return append(records, Record{Kind: KindState, Data: fmt.Append(nil, "term ", c.term)})
}

func (c *recovery) write(t *rapid.T) {
	records := c.batch(t)
	c.l.Append(records...)
	assert.NilError(t, c.l.Sync())
	c.m.apply(records)
}

// lostWrite is a power failure before the sync has ended.
func (c *recovery) lostWrite(t *rapid.T) {
	records := c.batch(t)
	after := c.m.clone()
	after.apply(records)
	c.d.syncs = rapid.IntRange(0, 2).Draw(t, "syncs")
	c.l.Append(records...)
	if err := c.l.Sync(); err == nil {
		c.m = after
	} else {
		assertCode(t, err, result.SyncFailed)
	}
	c.reopen(t, &after)
}

func (c *recovery) reopen(t *rapid.T, after *model) {
	c.d.syncs = -1
	c.d.powerFailure(c.rng)
	l, r, err := open(c.d)
	if err != nil {
		t.Fatal(err)
	}
	c.l = l
	if after != nil && after.equals(r) {
		c.m = *after
	}
	if !c.m.equals(r) {
		t.Fatalf("recovered %+v, want %+v", r, c.m)
	}
}

// compact saves a snapshot of the log's own entries.
func (c *recovery) compact(t *rapid.T) {
	if len(c.m.entries) == 0 {
		t.Skip()
	}
	e := c.m.entries[rapid.IntRange(0, len(c.m.entries)-1).Draw(t, "index")]
	s := Snapshot{Index: e.Index, Term: e.Term, Data: fmt.Append(nil, "snapshot ", e.Index)}
	c.save(t, s, false)
}

// install saves a snapshot of another host that replaces the log.
func (c *recovery) install(t *rapid.T) {
	c.term++
	at := c.m.snapshot.Index + 1 + uint64(rapid.IntRange(0, 20).Draw(t, "index"))
	c.save(t, Snapshot{Index: at, Term: c.term, Data: fmt.Append(nil, "installed ", at)}, true)
}

func (c *recovery) save(t *rapid.T, s Snapshot, reset bool) {
	after := c.m.clone()
	if reset {
		after.entries = nil
	} else {
		after.entries = after.entries[s.Index-after.snapshot.Index:]
	}
	after.snapshot = s
	if rapid.Bool().Draw(t, "power failure") {
		c.d.syncs = rapid.IntRange(0, 1).Draw(t, "syncs")
		assertCode(t, c.l.SaveSnapshot(s), result.SyncFailed)
		c.reopen(t, &after)
		return
	}
	assert.NilError(t, c.l.SaveSnapshot(s))
	if reset && rapid.Bool().Draw(t, "power failure before reset") {
		c.m = after
		c.reopen(t, nil)
		return
	}
	if reset {
		c.l.Append(Record{Kind: KindReset, Index: s.Index, Term: s.Term})
		assert.NilError(t, c.l.Sync())
	}
	assert.NilError(t, c.l.Compact(s.Index))
	c.m = after
}

// Guards against acknowledged records that a power failure loses, torn writes
// that stop recovery, and entries that return after they were replaced.
func TestRecoveryAfterPowerFailures(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(firstSeed)))
	assert.NilError(t, flag.Set("rapid.checks", fmt.Sprint(seeds(t))))
	assert.NilError(t, flag.Set("rapid.steps", fmt.Sprint(ciSteps)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	t.Logf("rapid seed %d, %d runs", firstSeed, seeds(t))
	rapid.Check(t, func(t *rapid.T) {
		c := &recovery{d: newDisk(), rng: rand.New(rand.NewPCG(uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed")), 1))}
		c.l, _ = mustOpen(t, c.d)
		t.Repeat(map[string]func(*rapid.T){
			"write1": c.write, "write2": c.write, "write3": c.write,
			"lostWrite": c.lostWrite, "compact": c.compact, "install": c.install,
			"reopen": func(t *rapid.T) { c.reopen(t, nil) },
		})
		c.reopen(t, nil)
	})
}
