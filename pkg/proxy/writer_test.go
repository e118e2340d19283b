package proxy

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "jackdawtrack.example/jackdawtrack/internal/fixedseed"
	"jackdawtrack.example/jackdawtrack/pkg/release"
)

// modelProcess is a server process with what it states, and whether that can be used.
type modelProcess struct {
	name, bootID, pool, version  string
	statesProcess, statesRelease bool
}

func (p modelProcess) header() http.Header {
	h := http.Header{}
	if p.statesProcess {
		h.Set(HeaderProcess, p.name+"/"+p.bootID)
	}
	if p.statesRelease {
		h.Set(HeaderRelease, p.pool+"/"+p.version)
	}
	return h
}

// trimmed returns the version without the blanks around it.
func (p modelProcess) trimmed() string { return strings.Trim(p.version, " \t") }

// mayContinue is the rule without hashes: the same pool and usable version, or the same
// process that states the same.
func (p modelProcess) mayContinue(o modelProcess) bool {
	usable := func(m modelProcess) bool {
		return m.statesRelease && m.trimmed() != "" && len(m.trimmed()) <= release.MaxVersionBytes
	}
	if usable(p) != usable(o) {
		return false
	}
	if usable(p) {
		return p.pool == o.pool && p.trimmed() == o.trimmed()
	}
	return p.statesProcess && o.statesProcess && p.name == o.name && p.bootID == o.bootID
}

// Guards against a pair of processes whose output is joined although nothing shows that
// it fits together, and against one that is refused although it does.
func TestWritersAgreeWithModel(t *testing.T) {
	process := rapid.Custom(func(t *rapid.T) modelProcess {
		long := strings.Repeat("v", release.MaxVersionBytes)
		return modelProcess{
			name:          rapid.SampledFrom([]string{"s1", "s2", "s1.1"}).Draw(t, "name"),
			bootID:        rapid.SampledFrom([]string{"1", "2", "11"}).Draw(t, "boot id"),
			pool:          rapid.SampledFrom([]string{"p", "q", "pv"}).Draw(t, "pool"),
			version:       rapid.SampledFrom([]string{"", " ", "v1", " v1", "v1\t ", "v 1", "v1/v1", "1", long, long + " ", long + "v"}).Draw(t, "version"),
			statesProcess: rapid.Bool().Draw(t, "states process"),
			statesRelease: rapid.Bool().Draw(t, "states release"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		began, now := process.Draw(t, "began"), process.Draw(t, "now")
		if got := writerOf(began.header()).canContinue(writerOf(now.header())); got != began.mayContinue(now) {
			t.Fatalf("%+v continued by %+v: %t", began, now, got)
		}
	})
}

// Guards against a panic or a long message on odd headers, and against one that states
// nothing and fits another.
func FuzzWriter(f *testing.F) {
	for _, header := range []string{
		"", HeaderProcess + ": s1/1", HeaderRelease + ": p/v1", HeaderRelease + ": /", HeaderRelease + ": p/" + strings.Repeat("v", 200),
		HeaderProcess + ": s1/1\r\n" + HeaderProcess + ": s1/1", HeaderProcess + ": \xff\x00", HeaderRelease + ": p/\xff", "jackdawtrack-release: p/v1",
	} {
		f.Add(header, HeaderProcess+": s1/1\r\n"+HeaderRelease+": p/v1")
	}
	f.Fuzz(func(t *testing.T, one, other string) {
		var writers [2]writer
		for i, header := range []string{one, other} {
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+header+"\r\n\r\n")), nil)
			if err != nil {
				return
			}
			_ = resp.Body.Close()
			writers[i] = writerOf(resp.Header)
			if text := writers[i].String(); len(text) > 1000 {
				t.Fatalf("message of %d bytes", len(text))
			}
		}
		a, b := writers[0], writers[1]
		if a.canContinue(b) != b.canContinue(a) {
			t.Fatalf("%s and %s fit in one direction only", a, b)
		}
		if a.canContinue(b) && a.process == "" && a.release == release.Unknown {
			t.Fatalf("%s fits %s", a, b)
		}
	})
}

// Guards against what is known of a service that overrides what its servers state: two
// different releases, and without a statement of the operators anything stated.
func TestWhatIsKnownJoinsNoStatedDifference(t *testing.T) {
	value := rapid.SampledFrom([]string{"", "p/", "p/v1", "p/v2", "q/v1", "v1", "v2"})
	process := rapid.SampledFrom([]string{"", "s1/1", "s1/2"})
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) (header http.Header, stated string) {
			header = http.Header{}
			if v := value.Draw(t, name+" release"); v != "" {
				header.Set(HeaderRelease, v)
				stated = v
			}
			if v := process.Draw(t, name+" process"); v != "" {
				header.Set(HeaderProcess, v)
			}
			return header, stated
		}
		began, beganStated := draw("first")
		now, nowStated := draw("later")
		a, b := writerOf(began), writerOf(now)
		if a.canContinue(b) {
			return // the same process or known release
		}
		if a.canContinueWith(b, release.Several) {
			t.Fatalf("joined although the versions may differ: %v %v", a, b)
		}
		if beganStated != "" && nowStated != "" && beganStated != nowStated {
			for _, known := range []release.Versions{release.Unstated, release.One, release.Several} {
				if a.canContinueWith(b, known) {
					t.Fatalf("two releases are joined with %s: %v %v", known, a, b)
				}
			}
			return
		}
		if !a.canContinueWith(b, release.One) {
			t.Fatalf("refused with one version: %v %v", a, b)
		}
		nothing := len(began) == 0 && len(now) == 0
		if got := a.canContinueWith(b, release.Unstated); got != nothing {
			t.Fatalf("continued: %v, although unstated: %v %v", got, a, b)
		}
	})
}
