package proxy

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// Headers with which a server states in its answers what wrote them. They are not
// forwarded to callers.
const (
	HeaderProcess = "Jackdawtrack-Process" // server name, slash, boot id
	HeaderRelease = "Jackdawtrack-Release" // pool, slash, software version; missing if the version is not known
)

// maxProcessBytes bounds the identity of a process. A longer one counts as not stated.
const maxProcessBytes = 256

// writer is what wrote an answer, as the server states it. Announcements are no
// substitute: the process at an address may have changed since.
type writer struct {
	process string // empty if not stated
	release release.ID
	stated  string // text of the release, for messages

	releases []string // values of HeaderRelease as received
	silent   bool     // states neither process nor release
}

// writerOf returns the writer of an answer with the headers.
func writerOf(h http.Header) writer {
	w := writer{process: singleValue(h, HeaderProcess), releases: h[HeaderRelease]}
	w.silent = len(h[HeaderProcess]) == 0 && len(w.releases) == 0
	if len(w.process) > maxProcessBytes {
		w.process = ""
	}
	w.stated = singleValue(h, HeaderRelease)
	if service, version, ok := strings.Cut(w.stated, "/"); ok {
		w.release = release.Of(service, strings.TrimSpace(version)) // as in announcements
	}
	return w
}

// singleValue returns the value of a header, empty if it does not occur exactly once.
func singleValue(h http.Header, name string) string {
	if values := h[name]; len(values) == 1 {
		return values[0]
	}
	return ""
}

// canContinue reports whether what w and other state shows that a stream that w began
// may go on with what other writes: both are the same process, or have the same known
// release.
func (w writer) canContinue(other writer) bool {
	if w.release != release.Unknown && w.release == other.release {
		return true
	}
	return w.process != "" && w.process == other.process && w.release == other.release
}

// canContinueWith is canContinue with what is known of the versions of the service.
// Two different releases never fit together, whatever is known.
func (w writer) canContinueWith(other writer, known release.Versions) bool {
	if w.canContinue(other) {
		return true
	}
	switch known {
	case release.One:
		return len(w.releases) == 0 || len(other.releases) == 0 || slices.Equal(w.releases, other.releases)
	case release.Unstated:
		return w.silent && other.silent
	default:
		return false
	}
}

// canTakeUp reports whether a stream whose begin is not known may go on with what w
// writes.
func (w writer) canTakeUp(known release.Versions) bool {
	return known == release.One || known == release.Unstated && len(w.releases) == 0
}

// versions returns what is known of the versions of the service after an answer of w.
func (f *forwarder) versions(w writer) release.Versions {
	if f.r.Versions == nil {
		return release.Several
	}
	return f.r.Versions(w.release)
}

// checkWriter checks that the answer to a resume request comes from a writer that can
// continue the stream.
func (f *forwarder) checkWriter() error {
	now := writerOf(f.resp.Header)
	if f.began.canContinueWith(now, f.versions(now)) {
		return nil
	}
	return result.New(result.ReleaseChanged, "the stream was begun by %s and cannot be continued by %s", f.began, now)
}

func (w writer) String() string {
	if w.process == "" && w.stated == "" {
		return "a process that states nothing"
	}
	return fmt.Sprintf("process %.80q, release %.80q", w.process, w.stated)
}
