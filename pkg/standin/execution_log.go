package standin

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

// Outcomes of an execution.
const (
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeBroken    = "broken" // the server failed while it ran
)

// Execution is one line of the execution file. A request that never started
// to run has no line; a request that ran twice has two.
type Execution struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Workspace      string    `json:"workspace,omitempty"`
	Class          string    `json:"class,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Server         string    `json:"server"`
	BootID         uint64    `json:"boot_id"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end"`
	Cost           uint64    `json:"cost"` // service units
	Outcome        string    `json:"outcome"`
	BodySHA256     string    `json:"body_sha256"`   // of the request body
	AnswerBytes    int       `json:"answer_bytes"`  // of the answer body
	AnswerSHA256   string    `json:"answer_sha256"` // of the answer body
}

// ExecutionLog appends executions to a file. It is safe for concurrent use;
// each line is one write, so several processes may share a file.
type ExecutionLog struct {
	mu   sync.Mutex
	file *os.File // nil: executions are dropped
}

// OpenExecutionLog opens the file for appending; an empty path drops all
// executions.
func OpenExecutionLog(path string) (*ExecutionLog, error) {
	if path == "" {
		return &ExecutionLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &ExecutionLog{file: f}, err
}

// Append writes one execution.
func (l *ExecutionLog) Append(e Execution) error {
	if l.file == nil {
		return nil
	}
	line, err := json.Marshal(e)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, err = l.file.Write(append(line, '\n'))
	return err
}

// ReadExecutions returns all executions of a file.
func ReadExecutions(path string) ([]Execution, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []Execution
	d := json.NewDecoder(bufio.NewReader(f))
	for {
		var e Execution
		err := d.Decode(&e)
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return all, err
		}
		all = append(all, e)
	}
}

// newExecution describes the request. The router may carry the idempotency
// key under a name of its own, because net/http resends requests that have an
// Idempotency-Key.
func newExecution(s *Server, r *http.Request, body []byte) Execution {
	key := r.Header.Get("Jackdawtrack-Idempotency-Key")
	if key == "" {
		key = r.Header.Get("Idempotency-Key")
	}
	return Execution{
		RequestID:      r.Header.Get(RequestIDHeader),
		IdempotencyKey: key,
		Workspace:      r.Header.Get("Jackdawtrack-Workspace"),
		Class:          r.Header.Get("Jackdawtrack-Class"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Server:         s.cfg.Name,
		Start:          time.Now().UTC(),
		BodySHA256:     sum(body),
	}
}
