package router

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/quarantine"
)

// benchRequest returns an admitted request.
func benchRequest(b testing.TB, kind backend.Kind, body string) *request {
	req, err := http.NewRequest(http.MethodPost, "/services/p/x", nil)
	assert.NilError(b, err)
	q := &request{req: req, kind: kind, poolName: "p", body: []byte(body)}
	q.workspace.Name = "w"
	if kind == backend.Engine {
		q.chat, err = parseChat(q.body)
		assert.NilError(b, err)
	}
	return q
}

// fillQuarantine gives the router as many losses, verdicts and cleared suspects as
// it keeps.
func (tr *testRouter) fillQuarantine() {
	now, next := time.Now(), uint64(1)
	suspects := func(n int) []uint64 {
		out := make([]uint64, n)
		for i := range out {
			out[i], next = next*0x9e3779b97f4a7c15, next+1 // suspects are hashes
		}
		return out
	}
	t := tr.router.quarantine.tracker
	for range 1200 {
		t.AnswerBegan(now, now, now, suspects(quarantine.MaxRequestParts))
		for _, s := range suspects(10) {
			t.AnswerBegan(now, now, now, []uint64{quarantine.RequestSuspect(s)})
		}
	}
	for i := range uint64(quarantine.MaxLosses) {
		l := quarantine.Loss{Server: quarantine.Server{Hash: i}, At: now, Lost: 8}
		for _, s := range suspects(quarantine.MaxPartsPerMessage) {
			l.Parts = append(l.Parts, quarantine.PartSuspect(s))
		}
		for _, s := range suspects(quarantine.MaxRequestsPerMessage) {
			l.Requests = append(l.Requests, quarantine.Sent{Request: quarantine.RequestSuspect(s), At: now.Add(-time.Second)})
		}
		t.AddLoss(now, l)
	}
	for range quarantine.MaxVerdicts {
		tr.convict(suspects(1)[0], 0, suspects(quarantine.MaxCompanions)...)
	}
}

// BenchmarkQuarantineOfRequest measures what a request that is answered costs for
// its suspects, both decisions and the answer, beside the parsing of a chat body.
func BenchmarkQuarantineOfRequest(b *testing.B) {
	long := make([]string, 2*quarantine.MaxRequestParts)
	for i := range long {
		long[i] = strings.Repeat(fmt.Sprint("message ", i, " "), 100)
	}
	bodies := []struct {
		name string
		kind backend.Kind
		body string
	}{
		{"get", backend.Service, ""},
		{"post 1 KB", backend.Service, strings.Repeat("x", 1<<10)},
		{"chat of 8 messages", backend.Engine, chatBodyOf(strings.Split(strings.Repeat("what is an apron with a pocket,", 8), ",")[:8]...)},
		{"chat of 64 messages", backend.Engine, chatBodyOf(long...)},
	}
	for _, state := range []string{"calm", "full"} {
		tr := newTestRouter(b, nil)
		if state == "full" {
			tr.fillQuarantine()
		}
		for _, c := range bodies {
			q := benchRequest(b, c.kind, c.body)
			b.Run(state+"/"+c.name, func(b *testing.B) {
				for b.Loop() {
					q.suspects = suspectsOf(q)
					if tr.router.refuseQuarantined(q) != nil || tr.router.beginAttempt(q) != nil {
						b.Fatal("a sound request was refused")
					}
					tr.router.reportAnswerBegan(q, time.Now(), true)
				}
			})
		}
	}
	for _, c := range bodies[2:] {
		b.Run("parse "+c.name, func(b *testing.B) {
			body := []byte(c.body)
			for b.Loop() {
				if _, err := parseChat(body); err != nil {
					b.Fatal(err)
				}
			}
		})
		messages := make([]chatMessage, 0, 64)
		for range strings.Count(c.body, `"role"`) {
			messages = append(messages, chatMessage{Role: "user", Content: []byte(strings.Repeat("x", len(c.body)/64))})
		}
		b.Run("prefixes "+c.name, func(b *testing.B) {
			for b.Loop() {
				prefixHashes("p", messages)
			}
		})
	}
}
