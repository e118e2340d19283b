package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const tokensPerPrefill = 1000 // unit of ServerSettings.Prefill

// serveChat answers chat completions as an engine does.
func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	var chat ChatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		http.Error(w, "body is not a chat completion request", http.StatusBadRequest)
		return
	}
	if offset := r.Header.Get(ResumeOffsetHeader); offset != "" {
		s.resume(w, r, offset)
		return
	}
	one := newRun(newExecution(s, r, body))
	if !s.begin(w, one) {
		return
	}
	go s.generate(one, chat)
	s.respond(w, r, one, chat.Stream)
}

// servePlain answers any request after the processing time.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	one := newRun(newExecution(s, r, body))
	if !s.begin(w, one) {
		return
	}
	go s.process(one)
	s.respond(w, r, one, false)
}

func (s *Server) begin(w http.ResponseWriter, one *run) bool {
	if !s.admit(one) {
		w.Header().Set(RequestIDHeader, one.execution.RequestID)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the server is starting", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// resume repeats the answer of an earlier request from a byte on.
func (s *Server) resume(w http.ResponseWriter, r *http.Request, text string) {
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		http.Error(w, "resume offset is not a number of bytes", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	one, ok := s.runs[r.Header.Get(RequestIDHeader)]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	w.Header().Set(ResumeOffsetHeader, strconv.Itoa(offset))
	s.respondFrom(w, r, one, offset)
}

// respond sends the answer, or what a fault makes of it.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, one *run, stream bool) {
	answer, fault := s.takeFault(one)
	if fault.Kind == FaultLate {
		wait(r.Context(), fault.Delay())
	}
	switch {
	case fault.Kind == FaultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault.Kind == FaultReset:
		s.resetMidway(w, r, one, stream)
	case stream:
		s.respondFrom(w, r, answer, 0)
	default:
		s.respondWhole(w, r, answer)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) respondFrom(w http.ResponseWriter, r *http.Request, one *run, offset int) {
	w.Header().Set(RequestIDHeader, one.execution.RequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	one.follow(w, r, offset)
}

func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, one *run) {
	answer := one.collect(r)
	w.Header().Set(RequestIDHeader, one.execution.RequestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer) // the caller may have left
}

// resetMidway sends the first part of the answer and breaks the connection.
func (s *Server) resetMidway(w http.ResponseWriter, r *http.Request, one *run, stream bool) {
	if stream {
		w.Header().Set(RequestIDHeader, one.execution.RequestID)
		w.Header().Set("Content-Type", "text/event-stream")
		if part, _, err := one.next(r.Context(), 0); err == nil {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
		}
	}
	one.addReader(1)
	one.addReader(-1)
	panic(http.ErrAbortHandler)
}

// generate produces the tokens of one chat answer.
func (s *Server) generate(one *run, chat ChatRequest) {
	words := chat.Words()
	prompt := chat.Prompt()
	u := usage{PromptTokens: (len(prompt) + bytesPerToken - 1) / bytesPerToken}
	defer func() { s.finish(one, u.cost()) }()
	if !s.takeSlot(one) {
		u.PromptTokens = 0
		return
	}
	defer s.freeSlot()
	if !one.pause(s.prefillTime(prompt, u.PromptTokens)) {
		return
	}
	id := one.execution.RequestID
	for i, word := range words {
		if !one.pause(s.tokenInterval()) {
			return
		}
		if one.abandoned() {
			one.cancel(context.Canceled)
			return
		}
		u.CompletionTokens++
		if chat.Stream {
			one.write(tokenEvent(id, chat.Model, word, i == 0))
		}
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if chat.Stream {
		one.write(finalEvents(id, chat.Model, u))
	} else {
		one.write(wholeAnswer(id, chat.Model, words, u))
	}
}

func (s *Server) prefillTime(prompt string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := tokens - s.cache.use(time.Now(), prompt)
	return s.cfg.Prefill.AsDuration() * time.Duration(fresh) / tokensPerPrefill
}

// tokenInterval is constant up to the knee and grows with each running
// request above it.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := s.cfg.TokenInterval.AsDuration()
	above := max(0, s.slotsUsed-s.cfg.Knee)
	return base + base*time.Duration(above)/time.Duration(s.cfg.Knee)
}

// process runs one request of a plain service.
func (s *Server) process(one *run) {
	started := time.Now()
	ran := false
	defer func() {
		cost := uint64(0)
		if ran {
			cost = uint64(time.Since(started).Milliseconds())
		}
		s.finish(one, cost)
	}()
	if !s.takeSlot(one) {
		return
	}
	defer s.freeSlot()
	started, ran = time.Now(), true
	if !one.pause(s.cfg.ProcessingTime.AsDuration()) {
		return
	}
	e := one.execution
	answer, err := json.Marshal(map[string]string{
		"method": e.Method, "path": e.Path, "request_id": e.RequestID, "body_sha256": e.BodySHA256, "state": "done",
	})
	if err != nil {
		s.log.Errorf("answer cannot be encoded: %v", err)
		return
	}
	one.write(append(answer, '\n'))
}
