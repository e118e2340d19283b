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

func entryRecord(index, term uint64, text string) Record {
	return Record{Kind: KindEntry, Index: index, Term: term, Data: []byte(text)}
}

func openLog(d *memDisk) (*Log, *Recovered, error) {
	return Open(folder, Options{FS: d, SegmentBytes: segmentBytes, NewIdentity: func() uint64 { return 77 }})
}

func mustOpen(t assert.TestingT, d *memDisk) (*Log, *Recovered) {
	l, r, err := openLog(d)
	assert.NilError(t, err)
	return l, r
}

func assertCode(t assert.TestingT, err error, want result.Code) {
	got, _ := result.CodeOf(err)
	assert.Equal(t, got, want, "%v", err)
}

// appendEntries appends the entries from first to last with one sync each.
func appendEntries(t assert.TestingT, l *Log, first, last uint64) {
	for i := first; i <= last; i++ {
		l.Append(entryRecord(i, 1, fmt.Sprint("entry ", i)))
		assert.NilError(t, l.Sync())
	}
}

// A folder must not be opened by two processes at once.
func TestSecondOpenIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, r, err := Open(dir, Options{})
	assert.NilError(t, err)
	_, _, err = Open(dir, Options{})
	assertCode(t, err, result.FolderLocked)
	appendEntries(t, l, 1, 3)
	assert.NilError(t, l.Close())
	l, again, err := Open(dir, Options{})
	assert.NilError(t, err)
	defer l.Close()
	assert.Equal(t, again.Identity, r.Identity)
	assert.Equal(t, len(again.Entries), 3)
}

// A damaged record must not be skipped or end the log early. Flips one bit of each
// byte before the last frame, and removes each file but the last segment.
func TestDamageInTheMiddleIsRefused(t *testing.T) {
	d := newMemDisk()
	l, _ := mustOpen(t, d)
	appendEntries(t, l, 1, 30)
	assert.Assert(t, l.SegmentCount() > 2)
	activeBytes := l.activeBytes
	appendEntries(t, l, 31, 31)
	assert.NilError(t, l.Close())
	last := d.lastPathWithSuffix(".log")
	for path, f := range d.names {
		end := int64(len(f.data))
		if path == last {
			end = activeBytes
		}
		for at := range end {
			f.data[at] ^= 1 << (at % 8)
			_, _, err := openLog(d)
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
		_, _, err := openLog(d)
		assertCode(t, err, result.LogDamaged)
		d.names[path] = f
	}
}

// After a failed sync the content on disk is unknown, so every later operation
// must fail.
func TestSyncFailureIsFinal(t *testing.T) {
	d := newMemDisk()
	l, _ := mustOpen(t, d)
	appendEntries(t, l, 1, 3)
	d.syncsLeft = 0
	l.Append(entryRecord(4, 1, "x"))
	assertCode(t, l.Sync(), result.SyncFailed)
	d.syncsLeft = -1
	l.Append(entryRecord(4, 1, "x"))
	assertCode(t, l.Sync(), result.SyncFailed)
	assertCode(t, l.SaveSnapshot(Snapshot{Index: 1}), result.SyncFailed)
	assertCode(t, l.Compact(1), result.SyncFailed)
}

// A full disk must not lose accepted entries or keep part of a rejected one, for
// every number of free bytes.
func TestFullDiskRefusesAndLosesNothing(t *testing.T) {
	for freeBytes := range int64(900) {
		d := newMemDisk()
		l, _ := mustOpen(t, d)
		appendEntries(t, l, 1, 3)
		d.freeBytes = freeBytes
		accepted := uint64(3)
		for i := uint64(4); i < 30; i++ {
			l.Append(entryRecord(i, 1, fmt.Sprint("entry ", i)))
			if err := l.Sync(); err != nil {
				assertCode(t, err, result.DiskFull)
				break
			}
			accepted = i
		}
		if err := l.SaveSnapshot(Snapshot{Index: 2, Data: make([]byte, 1000)}); err != nil {
			assertCode(t, err, result.DiskFull)
		}
		d.freeBytes = -1
		appendEntries(t, l, accepted+1, accepted+2)
		d.powerFailure(rand.New(rand.NewPCG(1, 1)))
		_, r := mustOpen(t, d)
		assert.Equal(t, r.Entries[len(r.Entries)-1].Index, accepted+2)
		assert.Equal(t, len(r.Entries), int(accepted+2))
	}
}

// A folder that lost its identity file or its log must not open, because its host
// could vote twice in a term.
func TestPartlyEmptiedFolderIsRefused(t *testing.T) {
	d := newMemDisk()
	l, _ := mustOpen(t, d)
	appendEntries(t, l, 1, 2)
	l.Close()
	names := map[string]*inode{d.lastPathWithSuffix(".log"): d.names[d.lastPathWithSuffix(".log")], d.lastPathWithSuffix(identityFileName): d.names[d.lastPathWithSuffix(identityFileName)]}
	for path, f := range names {
		delete(d.names, path)
		_, _, err := openLog(d)
		assertCode(t, err, result.LogDamaged)
		d.names[path] = f
	}
}

// A folder must open after a power failure during its first Open.
func TestPowerFailureDuringFirstOpen(t *testing.T) {
	for seed := range uint64(200) {
		d := newMemDisk()
		d.syncsLeft = int(seed % 5)
		if l, _, err := openLog(d); err == nil {
			l.Close()
		}
		d.syncsLeft = -1
		d.powerFailure(rand.New(rand.NewPCG(firstSeed, seed)))
		l, _ := mustOpen(t, d)
		appendEntries(t, l, 1, 1)
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

// logModel is the expected content of the log.
type logModel struct {
	snapshot  Snapshot
	entries   []Record // after the snapshot
	hardState []byte
}

func (m *logModel) last() uint64 { return m.snapshot.Index + uint64(len(m.entries)) }

func (m *logModel) apply(records []Record) {
	for _, r := range records {
		switch r.Kind {
		case KindHardState:
			m.hardState = r.Data
		case KindReset:
			m.entries = nil
		case KindEntry:
			if r.Index > m.snapshot.Index {
				m.entries = append(m.entries[:r.Index-m.snapshot.Index-1:r.Index-m.snapshot.Index-1], r)
			}
		}
	}
}

func (m *logModel) equals(r *Recovered) bool {
	if r.Snapshot.Index != m.snapshot.Index || !bytes.Equal(r.Snapshot.Data, m.snapshot.Data) ||
		!bytes.Equal(r.State, m.hardState) || len(r.Entries) != len(m.entries) {
		return false
	}
	for i, e := range r.Entries {
		if w := m.entries[i]; e.Index != w.Index || e.Term != w.Term || !bytes.Equal(e.Data, w.Data) {
			return false
		}
	}
	return true
}

func (m logModel) clone() logModel {
	m.entries = append([]Record(nil), m.entries...)
	return m
}

// recoveryTest runs random operations on a log and its model. After a power
// failure during a write, the log must equal the model before or after the write.
type recoveryTest struct {
	disk  *memDisk
	log   *Log
	model logModel
	term  uint64
	rng   *rand.Rand
}

// drawRecords returns random entries, which may overwrite the end of the log, and
// a hard state.
func (c *recoveryTest) drawRecords(t *rapid.T) []Record {
	var records []Record
	first := c.model.last() + 1
	if len(c.model.entries) > 0 && rapid.Bool().Draw(t, "overwrite") {
		first = c.model.snapshot.Index + 1 + uint64(rapid.IntRange(0, len(c.model.entries)-1).Draw(t, "at"))
	}
	c.term++
	for i := range uint64(rapid.IntRange(0, 4).Draw(t, "entries")) {
		records = append(records, entryRecord(first+i, c.term, fmt.Sprint(c.term, "-", i)))
	}
	return append(records, Record{Kind: KindHardState, Data: fmt.Append(nil, "term ", c.term)})
}

func (c *recoveryTest) write(t *rapid.T) {
	records := c.drawRecords(t)
	c.log.Append(records...)
	assert.NilError(t, c.log.Sync())
	c.model.apply(records)
}

// writeWithPowerFailure writes records and simulates a power failure before or
// after the sync completes.
func (c *recoveryTest) writeWithPowerFailure(t *rapid.T) {
	records := c.drawRecords(t)
	after := c.model.clone()
	after.apply(records)
	c.disk.syncsLeft = rapid.IntRange(0, 2).Draw(t, "syncs")
	c.log.Append(records...)
	if err := c.log.Sync(); err == nil {
		c.model = after
	} else {
		assertCode(t, err, result.SyncFailed)
	}
	c.reopenAfterPowerFailure(t, &after)
}

// reopenAfterPowerFailure reopens the log after a power failure and compares it
// with the model, or with after if it is not nil and matches.
func (c *recoveryTest) reopenAfterPowerFailure(t *rapid.T, after *logModel) {
	c.disk.syncsLeft = -1
	c.disk.powerFailure(c.rng)
	log, r, err := openLog(c.disk)
	if err != nil {
		t.Fatal(err)
	}
	c.log = log
	if after != nil && after.equals(r) {
		c.model = *after
	}
	if !c.model.equals(r) {
		t.Fatalf("recovered %+v, want %+v", r, c.model)
	}
}

// compactLog saves a snapshot at the index of a random entry of the log.
func (c *recoveryTest) compactLog(t *rapid.T) {
	if len(c.model.entries) == 0 {
		t.Skip()
	}
	e := c.model.entries[rapid.IntRange(0, len(c.model.entries)-1).Draw(t, "index")]
	s := Snapshot{Index: e.Index, Term: e.Term, Data: fmt.Append(nil, "snapshot ", e.Index)}
	c.saveSnapshot(t, s, false)
}

// installSnapshot saves a snapshot of another host, which replaces the log.
func (c *recoveryTest) installSnapshot(t *rapid.T) {
	c.term++
	at := c.model.snapshot.Index + 1 + uint64(rapid.IntRange(0, 20).Draw(t, "index"))
	c.saveSnapshot(t, Snapshot{Index: at, Term: c.term, Data: fmt.Append(nil, "installed ", at)}, true)
}

func (c *recoveryTest) saveSnapshot(t *rapid.T, s Snapshot, reset bool) {
	after := c.model.clone()
	if reset {
		after.entries = nil
	} else {
		after.entries = after.entries[s.Index-after.snapshot.Index:]
	}
	after.snapshot = s
	if rapid.Bool().Draw(t, "power failure") {
		c.disk.syncsLeft = rapid.IntRange(0, 1).Draw(t, "syncs")
		assertCode(t, c.log.SaveSnapshot(s), result.SyncFailed)
		c.reopenAfterPowerFailure(t, &after)
		return
	}
	assert.NilError(t, c.log.SaveSnapshot(s))
	if reset && rapid.Bool().Draw(t, "power failure before reset") {
		c.model = after
		c.reopenAfterPowerFailure(t, nil)
		return
	}
	if reset {
		c.log.Append(Record{Kind: KindReset, Index: s.Index, Term: s.Term})
		assert.NilError(t, c.log.Sync())
	}
	assert.NilError(t, c.log.Compact(s.Index))
	c.model = after
}

// After power failures, synced records must be present, torn writes must not stop
// recovery and replaced entries must not return.
func TestRecoveryAfterPowerFailures(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", fmt.Sprint(firstSeed)))
	assert.NilError(t, flag.Set("rapid.checks", fmt.Sprint(seeds(t))))
	assert.NilError(t, flag.Set("rapid.steps", fmt.Sprint(ciSteps)))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	t.Logf("rapid seed %d, %d runs", firstSeed, seeds(t))
	rapid.Check(t, func(t *rapid.T) {
		c := &recoveryTest{disk: newMemDisk(), rng: rand.New(rand.NewPCG(uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed")), 1))}
		c.log, _ = mustOpen(t, c.disk)
		t.Repeat(map[string]func(*rapid.T){
			"write1": c.write, "write2": c.write, "write3": c.write,
			"lostWrite": c.writeWithPowerFailure, "compact": c.compactLog, "install": c.installSnapshot,
			"reopen": func(t *rapid.T) { c.reopenAfterPowerFailure(t, nil) },
		})
		c.reopenAfterPowerFailure(t, nil)
	})
}
