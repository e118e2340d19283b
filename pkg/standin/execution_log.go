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

// Values of ExecutionRecord.Outcome.
const (
	OutcomeDone      = "done"
	OutcomeCancelled = "cancelled"
	OutcomeBroken    = "broken" // the server failed during the execution
)

// ExecutionRecord is one line of the execution file. Each execution of a request
// writes one line, so a request that was executed twice has two and a request
// that was not admitted has none.
type ExecutionRecord struct {
	RequestID      string    `json:"request_id"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Workspace      string    `json:"workspace,omitempty"`
	Class          string    `json:"class,omitempty"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Server         string    `json:"server"`
	BootID         uint64    `json:"boot_id"`
	Version        string    `json:"software_version,omitempty"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end"`
	Cost           uint64    `json:"cost"` // service units
	Outcome        string    `json:"outcome"`
	BodySHA256     string    `json:"body_sha256"`   // of the request body
	AnswerBytes    int       `json:"answer_bytes"`  // of the response body
	AnswerSHA256   string    `json:"answer_sha256"` // of the response body
}

// ExecutionLog appends execution records to a file. It is safe for concurrent
// use. Each line is one write, so several processes may share a file.
type ExecutionLog struct {
	mu   sync.Mutex
	file *os.File // nil: records are discarded
}

// OpenExecutionLog opens or creates the file for appending. With an empty path
// the log discards all records.
func OpenExecutionLog(path string) (*ExecutionLog, error) {
	if path == "" {
		return &ExecutionLog{}, nil
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return &ExecutionLog{file: f}, err
}

// Append writes one record.
func (l *ExecutionLog) Append(e ExecutionRecord) error {
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

// ReadExecutions returns all records of a file. After an error it returns the
// records before it.
func ReadExecutions(path string) ([]ExecutionRecord, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var all []ExecutionRecord
	d := json.NewDecoder(bufio.NewReader(f))
	for {
		var e ExecutionRecord
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

// newExecutionRecord returns the record of a request that starts now. The router
// may send the idempotency key in Jackdawtrack-Idempotency-Key, because net/http
// retries requests that have an Idempotency-Key.
func newExecutionRecord(s *Server, r *http.Request, body []byte) ExecutionRecord {
	key := r.Header.Get("Jackdawtrack-Idempotency-Key")
	if key == "" {
		key = r.Header.Get("Idempotency-Key")
	}
	return ExecutionRecord{
		RequestID:      r.Header.Get(RequestIDHeader),
		IdempotencyKey: key,
		Workspace:      r.Header.Get("Jackdawtrack-Workspace"),
		Class:          r.Header.Get("Jackdawtrack-Class"),
		Method:         r.Method,
		Path:           r.URL.Path,
		Server:         s.cfg.Name,
		Start:          time.Now().UTC(),
		BodySHA256:     sha256Hex(body),
	}
}
