package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

const prefillUnitTokens = 1000 // tokens to which ServerSettings.PrefillPerThousandTokens refers

// handleChat serves chat completions as a model engine does.
func (s *Server) handleChat(w http.ResponseWriter, r *http.Request) {
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
		s.resumeStream(w, r, offset)
		return
	}
	execution := newRequestExecution(newExecutionRecord(s, r, body))
	execution.chat = chat
	if !s.admitOrReject(w, execution) {
		return
	}
	go s.generateAnswer(execution)
	s.respondWithFaults(w, r, execution, chat.Stream)
}

// handlePlainRequest serves any request to a plain service after the processing
// time.
func (s *Server) handlePlainRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, "body cannot be read", http.StatusBadRequest)
		return
	}
	execution := newRequestExecution(newExecutionRecord(s, r, body))
	if !s.admitOrReject(w, execution) {
		return
	}
	go s.processPlainRequest(execution)
	s.respondWithFaults(w, r, execution, false)
}

// admitOrReject admits an execution. If the server is starting, it responds with
// 503 and reports false.
func (s *Server) admitOrReject(w http.ResponseWriter, execution *requestExecution) bool {
	if !s.admit(execution) {
		w.Header().Set(RequestIDHeader, execution.record.RequestID)
		w.Header().Set("Retry-After", "1")
		http.Error(w, "the server is starting", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// resumeStream sends the response to an earlier request from a byte offset.
func (s *Server) resumeStream(w http.ResponseWriter, r *http.Request, offsetText string) {
	offset, err := strconv.Atoi(offsetText)
	if err != nil || offset < 0 {
		http.Error(w, "resume offset is not a non-negative number of bytes", http.StatusBadRequest)
		return
	}
	execution, ok := s.findStream(r.Header.Get(RequestIDHeader))
	if !ok {
		http.Error(w, "unknown request id", http.StatusNotFound)
		return
	}
	w.Header().Set(ResumeOffsetHeader, strconv.Itoa(offset))
	s.sendStream(w, r, execution, offset)
}

// findStream returns the execution with the id. A stream that an earlier process has
// stored goes on in this one.
func (s *Server) findStream(id string) (*requestExecution, bool) {
	s.mu.Lock()
	execution, ok := s.executionsByID[id]
	stored := s.storedStreams[id]
	delete(s.storedStreams, id)
	s.mu.Unlock()
	if ok || stored == nil {
		return execution, ok
	}
	execution = stored.next()
	if !s.admit(execution) {
		s.mu.Lock()
		s.storedStreams[id] = stored
		s.mu.Unlock()
		return nil, false
	}
	go s.generateAnswer(execution)
	return execution, true
}

// setAnswerHeader sets the headers that tell what wrote the answer of an execution.
func (s *Server) setAnswerHeader(h http.Header, execution *requestExecution) {
	e := &execution.record
	h.Set(RequestIDHeader, e.RequestID)
	h.Set(ProcessHeader, s.cfg.Name+"/"+strconv.FormatUint(e.BootID, 10))
	if e.Version != "" {
		h.Set(ReleaseHeader, execution.pool+"/"+e.Version)
	}
}

// respondWithFaults sends the response, changed by a queued fault if there is
// one.
func (s *Server) respondWithFaults(w http.ResponseWriter, r *http.Request, execution *requestExecution, stream bool) {
	source, fault := s.takeFault(execution)
	if fault.Kind == FaultLate {
		sleepContext(r.Context(), fault.Delay())
	}
	switch {
	case fault.Kind == FaultSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault.Kind == FaultReset:
		s.sendPartAndReset(w, r, execution, stream)
	case stream:
		s.sendStream(w, r, source, 0)
	default:
		s.sendCompleteResponse(w, r, source)
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (s *Server) sendStream(w http.ResponseWriter, r *http.Request, execution *requestExecution, offset int) {
	s.setAnswerHeader(w.Header(), execution)
	w.Header().Set("Content-Type", "text/event-stream")
	execution.streamTo(w, r, offset)
}

func (s *Server) sendCompleteResponse(w http.ResponseWriter, r *http.Request, execution *requestExecution) {
	body := execution.waitForBody(r)
	s.setAnswerHeader(w.Header(), execution)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body) // the caller may have disconnected
}

// sendPartAndReset resets the connection, of a stream after the first part of
// the response.
func (s *Server) sendPartAndReset(w http.ResponseWriter, r *http.Request, execution *requestExecution, stream bool) {
	if stream {
		s.setAnswerHeader(w.Header(), execution)
		w.Header().Set("Content-Type", "text/event-stream")
		if part, _, err := execution.waitForBytes(r.Context(), 0); err == nil {
			_, _ = w.Write(part)
			_ = http.NewResponseController(w).Flush()
		}
	}
	execution.adjustReaderCount(1)
	execution.adjustReaderCount(-1)
	panic(http.ErrAbortHandler)
}

// generateAnswer executes a chat completion: it waits for a slot, prefills the
// prompt and generates the tokens.
func (s *Server) generateAnswer(execution *requestExecution) {
	chat := execution.chat
	tokens := chat.GeneratedTokens()
	prompt := chat.Prompt()
	u := usage{PromptTokens: (len(prompt) + promptBytesPerToken - 1) / promptBytesPerToken}
	defer func() { s.finish(execution, u.cost()) }()
	if !s.acquireSlot(execution) {
		u.PromptTokens = 0
		return
	}
	defer s.releaseSlot()
	if !execution.sleep(s.prefillTime(prompt, u.PromptTokens)) {
		return
	}
	id, version := execution.record.RequestID, execution.record.Version
	for i := execution.tokens; i < len(tokens); i++ {
		if !execution.sleep(s.tokenInterval()) {
			return
		}
		if execution.abandoned() {
			execution.cancel(context.Canceled)
			return
		}
		u.CompletionTokens++
		if chat.Stream {
			execution.appendToken(tokenEvent(id, chat.Model, version, tokens[i], i == 0))
		}
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	if chat.Stream {
		execution.appendBody(finalEvents(id, chat.Model, version, u))
	} else {
		execution.appendBody(completeAnswer(id, chat.Model, version, tokens, u))
	}
}

// prefillTime caches the prompt and returns the time to prefill its uncached
// tokens.
func (s *Server) prefillTime(prompt string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	uncached := tokens - s.cache.storePrompt(time.Now(), prompt)
	return s.cfg.PrefillPerThousandTokens.AsDuration() * time.Duration(uncached) / prefillUnitTokens
}

// tokenInterval returns the time for one token. It is constant up to the knee
// and grows linearly with the running requests above it.
func (s *Server) tokenInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	base := s.cfg.TokenInterval.AsDuration()
	above := max(0, s.usedSlots-s.cfg.Knee)
	return base + base*time.Duration(above)/time.Duration(s.cfg.Knee)
}

// processPlainRequest executes one request to a plain service. Its cost is the
// processing time in milliseconds.
func (s *Server) processPlainRequest(execution *requestExecution) {
	started := time.Now()
	gotSlot := false
	defer func() {
		cost := uint64(0)
		if gotSlot {
			cost = uint64(time.Since(started).Milliseconds())
		}
		s.finish(execution, cost)
	}()
	if !s.acquireSlot(execution) {
		return
	}
	defer s.releaseSlot()
	started, gotSlot = time.Now(), true
	if !execution.sleep(s.cfg.ProcessingTime.AsDuration()) {
		return
	}
	e := execution.record
	answer, err := json.Marshal(map[string]string{
		"method": e.Method, "path": e.Path, "request_id": e.RequestID, "body_sha256": e.BodySHA256, "state": "done",
	})
	if err != nil {
		s.log.Errorf("encode response: %v", err)
		return
	}
	execution.appendBody(append(answer, '\n'))
}
