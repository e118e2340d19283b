package streamrecord

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jackdawtrack.example/jackdawtrack/pkg/release"
)

var start = time.Unix(1_700_000_000, 0)

// model is a Table without a heap: each step looks at all records.
type model struct {
	limit        int
	records      map[Key]Record
	recent       []modelPut // oldest first
	replacements []modelReplacement
	dropped      uint64
}

type modelPut struct {
	at time.Time
	Record
}

type modelReplacement struct {
	at time.Time
	Replacement
}

func (m *model) expire(now time.Time) {
	maps.DeleteFunc(m.records, func(_ Key, r Record) bool { return !r.Expires.After(now) })
	m.recent = slices.DeleteFunc(m.recent, func(p modelPut) bool { return now.Sub(p.at) > MaxDoubtTime })
}

// mayHaveEnded reports whether the process is older than the one of the replacement, or
// looks equal to an older one.
func mayHaveEnded(p Process, r Replacement) bool {
	isOlder := uint32(p) != 0 && uint32(r.After) != 0 && uint32(p) < uint32(r.After)
	isEqual := p == r.After && uint32(p) == 0
	return p>>32 == r.After>>32 && (p == r.Before || isOlder || isEqual)
}

// replace looks at all records that were put lately.
func (m *model) replace(now time.Time, r Replacement) (doubted int) {
	m.expire(now)
	m.replacements = append(m.replacements, modelReplacement{now, r})
	for _, p := range m.recent {
		stored, known := m.records[p.Key]
		isRecent := now.Sub(p.at) <= DoubtTime || now.Sub(p.at) <= r.Silence+announcementDelay
		if known && isRecent && mayHaveEnded(p.Process, r) && stored.Release != r.Release && stored.Release != release.Unknown {
			stored.Release = release.Unknown
			m.records[p.Key] = stored
			doubted++
		}
	}
	return doubted
}

// doubts looks at the replacements of the server back to the first gap of
// replacementTime.
func (m *model) doubts(now time.Time, r Record) bool {
	var last, next *modelReplacement
	several, changed := false, false
	until := now
	for _, known := range slices.Backward(m.replacements) {
		if known.After>>32 != r.Process>>32 {
			continue
		}
		if until.Sub(known.at) > replacementTime {
			break
		}
		if until = known.at; last == nil {
			last = &known
		}
		several = several || known.Release != last.Release
		changed = changed || next != nil && known.Release != next.Release && known.Before != NoProcess
		next = &known
	}
	if last == nil || !mayHaveEnded(r.Process, last.Replacement) {
		return false
	}
	if r.Process == last.After {
		several = changed && now.Sub(last.at) <= DoubtTime
	}
	return r.Release != last.Release || several
}

func (m *model) put(now time.Time, r Record) bool {
	m.expire(now)
	if latest := now.Add(MaxTTL); r.Expires.After(latest) {
		r.Expires = latest
	}
	if !r.Expires.After(now) {
		return false
	}
	if m.doubts(now, r) {
		r.Release = release.Unknown
	}
	if r.Process != NoProcess && r.Release != release.Unknown {
		if len(m.recent) == m.limit {
			m.recent = m.recent[1:]
			m.dropped++
		}
		m.recent = append(m.recent, modelPut{now, r})
	}
	r.Process = NoProcess
	before, known := m.records[r.Key]
	if known {
		if before.Release != r.Release {
			r.Release = release.Unknown
		}
		if before.Expires.After(r.Expires) {
			r.Expires = before.Expires
		}
	}
	m.records[r.Key] = r
	if len(m.records) > m.limit {
		m.dropped++
		first := slices.MinFunc(slices.Collect(maps.Values(m.records)), compareRecords)
		delete(m.records, first.Key)
		return first.Key != r.Key
	}
	return before != r
}

func compareRecords(a, b Record) int {
	if c := a.Expires.Compare(b.Expires); c != 0 {
		return c
	}
	return cmp.Or(bytes.Compare(a.Key[:], b.Key[:]), cmp.Compare(a.Process, b.Process))
}

func (m *model) get(now time.Time, k Key) (release.ID, State) {
	m.expire(now)
	r, known := m.records[k]
	switch {
	case !known:
		return release.Unknown, Unknown
	case r.Release == release.Unknown:
		return release.Unknown, Conflict
	}
	return r.Release, Recorded
}

// live returns what another host is told: each record, once for each process of its
// recent puts.
func (m *model) live(now time.Time) []Record {
	out := map[Record]bool{}
	for _, r := range m.records {
		isNamed := false
		for _, put := range m.recent {
			if put.Key == r.Key && now.Sub(put.at) <= DoubtTime && r.Release != release.Unknown {
				isNamed, r.Process = true, put.Process
				out[r] = true
			}
		}
		if !isNamed {
			out[r] = true
		}
	}
	return slices.Collect(maps.Keys(out))
}

func drawProcess(t *rapid.T, label string) Process {
	server := rapid.Uint64Range(1, 2).Draw(t, label+" server")
	return Process(server<<32 | rapid.Uint64Range(0, 4).Draw(t, label+" start"))
}

func drawReplacement(t *rapid.T) Replacement {
	r := Replacement{After: drawProcess(t, "after"), Release: release.ID(rapid.Uint64Range(0, 3).Draw(t, "release"))}
	if rapid.Bool().Draw(t, "known") {
		r.Before = r.After>>32<<32 | drawProcess(t, "before")&0xffff_ffff
		r.Silence = time.Duration(rapid.Int64Range(0, 15_000).Draw(t, "silence ms")) * time.Millisecond
	}
	return r
}

func drawRecord(t *rapid.T, now time.Time) Record {
	r := drawRecordOfNoProcess(t, now)
	if rapid.IntRange(0, 3).Draw(t, "old host") > 0 {
		r.Process = drawProcess(t, "record")
	}
	return r
}

func drawRecordOfNoProcess(t *rapid.T, now time.Time) Record {
	return Record{
		Key:     Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))},
		Release: release.ID(rapid.Uint64Range(0, 3).Draw(t, "release")),
		Expires: now.Add(time.Duration(rapid.Int64Range(-1000, 70_000).Draw(t, "ttl")) * time.Millisecond),
	}
}

// Guards against a release that is taken for the one that began a stream although
// records name two, against records that outlive their time or are lost before it, and
// against a table that grows beyond its limit. It compares the table with a model.
func TestTableMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 12).Draw(t, "limit")
		table, m, now := New(limit), &model{limit: limit, records: map[Key]Record{}}, start
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				r := drawRecord(t, now)
				want := m.put(now, r)
				assert.Equal(t, table.Put(now, r), want)
			},
			"replace": func(t *rapid.T) {
				r := drawReplacement(t)
				want := m.replace(now, r)
				assert.Equal(t, table.Replace(now, r), want)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 30_000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait briefly": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait for long": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, 11).Draw(t, "minutes")) * time.Minute)
			},
			"get": func(t *rapid.T) {
				k := Key{byte(rapid.IntRange(0, 9).Draw(t, "key"))}
				wantID, want := m.get(now, k)
				id, state := table.Get(now, k)
				assert.Equal(t, state, want)
				assert.Equal(t, id, wantID)
			},
			"": func(t *rapid.T) {
				m.expire(now)
				got, want := table.Live(now), m.live(now)
				slices.SortFunc(got, compareRecords)
				slices.SortFunc(want, compareRecords)
				assert.Equal(t, len(got), len(want))
				for i := range got {
					assert.Equal(t, got[i].Key, want[i].Key)
					assert.Equal(t, got[i].Release, want[i].Release)
					assert.Assert(t, got[i].Expires.Equal(want[i].Expires))
					assert.Equal(t, got[i].Process, want[i].Process)
				}
				assert.Equal(t, table.Len(), len(m.records))
				assert.Equal(t, table.Dropped(), m.dropped)
			},
		})
	})
}

// Guards against hosts that disagree on a stream because messages reached them in
// another order or twice.
func TestOrderAndRepetitionOfRecordsDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Record { return drawRecord(t, start) }), 1, 20).Draw(t, "records")
		other := rapid.Permutation(records).Draw(t, "other order")
		other = append(other, other[:rapid.IntRange(0, len(other)).Draw(t, "repeated")]...)
		a, b := New(100), New(100)
		for _, r := range records {
			a.Put(start, r)
		}
		for _, r := range other {
			b.Put(start, r)
		}
		gotA, gotB := a.Live(start), b.Live(start)
		slices.SortFunc(gotA, compareRecords)
		slices.SortFunc(gotB, compareRecords)
		assert.DeepEqual(t, gotA, gotB)
	})
}

// Guards against a stream that is resumed at the release of a process which had ended:
// the record and the announcement of the next process reach a host in any order.
func TestOrderOfRecordAndReplacementDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record, replacement := drawRecord(t, start), drawReplacement(t)
		later := start.Add(time.Duration(rapid.Int64Range(0, DoubtTime.Milliseconds()).Draw(t, "ms")) * time.Millisecond)
		record.Expires = start.Add(MaxTTL)
		a, b := New(100), New(100)
		a.Put(start, record)
		a.Replace(later, replacement)
		b.Replace(start, replacement)
		b.Put(later, record)
		gotA, stateA := a.Get(later, record.Key)
		gotB, stateB := b.Get(later, record.Key)
		assert.Equal(t, stateA, stateB)
		assert.Equal(t, gotA, gotB)
	})
}

// Guards against refused take-ups of streams that no other process can have written,
// and against accepted ones of those that one may have written.
func TestReplacementDoubtsItsOwnStreamsOnly(t *testing.T) {
	p := ProcessOf("a", 1_700_000_000_000)
	later := ProcessOf("a", 1_700_000_001_000)
	known := Replacement{Before: p, After: later, Release: 2}
	for _, c := range []struct {
		name    string
		process Process
		release release.ID
		after   time.Duration
		r       Replacement
		want    State
	}{
		{"process before", p, 1, DoubtTime, known, Conflict},
		{"too long ago", p, 1, DoubtTime + 1, known, Recorded},
		{"long ago, not believed", later, 1, 10 * time.Second, Replacement{Before: later, After: p, Release: 2, Silence: 7 * time.Second}, Conflict},
		{"before the silence", later, 1, 11 * time.Second, Replacement{Before: later, After: p, Release: 2, Silence: 7 * time.Second}, Recorded},
		{"before the bound", later, 1, MaxDoubtTime + 1, Replacement{Before: later, After: p, Release: 2, Silence: time.Hour}, Recorded},
		{"same release", p, 2, 0, known, Recorded},
		{"new process", later, 1, 0, known, Recorded},
		{"other server", ProcessOf("b", 1_700_000_000_000), 1, 0, known, Recorded},
		{"record of an old host", NoProcess, 1, 0, known, Recorded},
		{"process before not known", p, 1, 0, Replacement{After: later, Release: 2}, Conflict},
		{"version not stated", p, 1, 0, Replacement{Before: p, After: later}, Conflict},
		{"clock set back", later, 1, 0, Replacement{Before: later, After: p, Release: 2}, Conflict},
		{"news of an old process", later, 1, 0, Replacement{After: p, Release: 2}, Recorded},
		{"start of neither stated", ProcessOf("a", 0), 1, 0, Replacement{Before: ProcessOf("a", 0), After: ProcessOf("a", 0), Release: 2}, Conflict},
		{"start of neither stated, same release", ProcessOf("a", 0), 2, 0, Replacement{Before: ProcessOf("a", 0), After: ProcessOf("a", 0), Release: 2}, Recorded},
		{"start not stated", ProcessOf("a", 0), 1, 0, Replacement{Before: ProcessOf("a", 0), After: later, Release: 2}, Conflict},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := New(10)
			table.Put(start, Record{Key: Key{1}, Release: c.release, Expires: start.Add(MaxTTL), Process: c.process})
			now := start.Add(c.after)
			table.Replace(now, c.r)
			_, state := table.Get(now, Key{1})
			assert.Equal(t, state, c.want)
		})
	}
}

// Guards against memory that grows with the restarts of servers.
func TestReplacementsAreBounded(t *testing.T) {
	table := New(10)
	for n := range Process(maxReplacements + 10) {
		table.Replace(start, Replacement{After: (n + 1) << 32, Release: 1})
	}
	assert.Equal(t, len(table.replacements.byServer), maxReplacements)
	assert.Equal(t, len(table.replacements.order), maxReplacements)
	table.RemoveExpired(start.Add(replacementTime + 1))
	assert.Equal(t, len(table.replacements.byServer), 0)
	assert.Equal(t, len(table.replacements.order), 0)
}

// Guards against two streams with one key, for example of two workspaces.
func TestKeysDifferByEachField(t *testing.T) {
	seen := map[Key]bool{}
	for _, fields := range [][3]string{{"", "", ""}, {"a", "", ""}, {"", "a", ""}, {"", "", "a"}, {"ab", "", ""}, {"a", "b", ""}, {"a", "", "b"}, {"", "ab", ""}, {"\x00", "", ""}} {
		k := KeyOf(fields[0], fields[1], fields[2])
		assert.Assert(t, !seen[k], "%q", fields)
		assert.Equal(t, k, KeyOf(fields[0], fields[1], fields[2]))
		seen[k] = true
	}
}

func numberedRecord(n int) Record {
	return Record{
		Key:     Key{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)},
		Release: 7, Expires: start.Add(time.Duration(n) * time.Microsecond).Add(MaxTTL), Process: 1 << 32,
	}
}

// BenchmarkPutGet stores and reads records of a table at its limit, where each new one
// drops another.
func BenchmarkPutGet(b *testing.B) {
	const limit = 1 << 18
	table := New(limit)
	n := 0
	for b.Loop() {
		r := numberedRecord(n)
		now := r.Expires.Add(-MaxTTL)
		table.Put(now, r)
		table.Get(now, r.Key)
		n++
	}
}

// BenchmarkMemory reports the memory of a record that is put within DoubtTime.
func BenchmarkMemory(b *testing.B) {
	const count = 1 << 18
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(count)
		for n := range count {
			table.Put(start, numberedRecord(n))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/count, "B/record")
		runtime.KeepAlive(table)
	}
}

// BenchmarkMemoryAtRate reports the memory and the number of the records of 2,000 new
// streams a second after three lifetimes of 60 s, and the time to put one.
func BenchmarkMemoryAtRate(b *testing.B) {
	const rate = 2000
	count := 3 * rate * int(MaxTTL/time.Second)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		table := New(1 << 18)
		begun := time.Now()
		for n := range count {
			now := start.Add(time.Duration(n) * time.Second / rate)
			r := numberedRecord(n)
			r.Expires = now.Add(MaxTTL)
			table.Put(now, r)
		}
		b.ReportMetric(float64(time.Since(begun).Nanoseconds())/float64(count), "ns/record")
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB")
		b.ReportMetric(float64(table.Len()), "records")
		runtime.KeepAlive(table)
	}
}

// BenchmarkReplace announces a new process of one of 1,000 servers whose records were put
// within DoubtTime.
func BenchmarkReplace(b *testing.B) {
	const servers = 1000
	table := New(1 << 18)
	for n := range 1 << 14 {
		r := numberedRecord(n)
		r.Process = ProcessOf(fmt.Sprint("server-", n%servers), 1_699_999_000_000)
		table.Put(start, r)
	}
	r := Replacement{After: ProcessOf("server-7", 1_700_000_000_000), Release: 7}
	b.ReportAllocs()
	for b.Loop() {
		table.Replace(start, r)
	}
}
