package router

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
	"jackdawtrack.example/jackdawtrack/pkg/backend"
	"jackdawtrack.example/jackdawtrack/pkg/peer"
	"jackdawtrack.example/jackdawtrack/pkg/pool"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
)

// TestStreamOnBorrowedServerIsResumedAndCancelled checks that a stream on a
// server of another data centre is resumed after a broken connection, and
// cancelled if it cannot be resumed. The router has no announcement of that
// server: its abilities come with the loan.
func TestStreamOnBorrowedServerIsResumedAndCancelled(t *testing.T) {
	const fullStream = "data: one\n\ndata: two\n\ndata: [DONE]\n\n"
	const cutOffset = 15
	for _, resume := range []bool{true, false} {
		tr := newTestRouter(t, nil)
		cancelled := make(chan string, 8)
		s := newRawServer(t, func(c net.Conn, r *http.Request) {
			id := r.Header.Get(proxy.HeaderRequestID)
			if r.URL.Path == "/v1/cancel" {
				cancelled <- r.URL.Path
				fmt.Fprint(c, "HTTP/1.1 204 No Content\r\n\r\n")
				return
			}
			head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s9/1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", proxy.HeaderRequestID, id, proxy.HeaderProcess)
			if r.Header.Get(proxy.HeaderResumeOffset) == fmt.Sprint(cutOffset) {
				fmt.Fprintf(c, "%s%s: %d\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, proxy.HeaderResumeOffset, cutOffset, len(fullStream)-cutOffset, fullStream[cutOffset:])
				return
			}
			fmt.Fprintf(c, "%s\r\n%x\r\n%s\r\n", head, cutOffset, fullStream[:cutOffset])
			resetConn(c, r)
		})
		lender := pool.RouterID{Name: "rt-9", DataCentre: "south", Incarnation: 1}
		from := pool.ShardID{DataCentre: "south", Pool: "p"}
		tr.router.HandleMessages(lender, []*apiv1.Envelope{{Item: &apiv1.Envelope_Summary{Summary: peer.SummaryToProto(pool.Summary{From: from, Epoch: 1, FreeSlots: 1})}}})
		answered := make(chan string, 1)
		go func() {
			_, body := tryDo(tr.request(t, http.MethodPost, chatPath, "chat", chatBody(2)))
			answered <- body
		}()
		tr.waitFor(t, "the request waits", func() bool { waiting, _ := tr.router.askTable.counts(); return waiting == 1 })
		tr.router.HandleMessages(lender, []*apiv1.Envelope{{Item: &apiv1.Envelope_Loan{Loan: peer.LoanToProto(pool.Loan{
			From: from, To: tr.router.shardOf("p"), LoanID: 1, Epoch: 1, Server: "s9", Address: s.addr, BootID: 1, Slots: 1, TTL: time.Second,
			Abilities: backend.Abilities{Resume: resume, Cancel: true, RepeatsID: true},
		})}}})
		body := <-answered
		if resume {
			assert.Equal(t, body, fullStream)
			continue
		}
		assert.Assert(t, strings.HasPrefix(body, "data: one\n\n") && strings.Contains(body, "event: error"), body)
		select {
		case <-cancelled:
		case <-time.After(testTimeout):
			t.Fatal("the server received no cancel request")
		}
	}
}
