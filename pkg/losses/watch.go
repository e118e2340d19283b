package losses

import (
	"slices"
	"sync"
	"time"
)

// WatchTime is how long a server process is watched after the caller of a request to it
// has left: the close of the connection hides that the server ends on the request.
const WatchTime = 250 * time.Millisecond

// Watch holds the requests whose callers left before their answers began, by server
// process. Its zero value is ready to use. It is safe for concurrent use.
type Watch struct {
	mu   sync.Mutex
	left map[Process][]leftRequest
}

type leftRequest struct {
	Request
	at time.Time
}

// Add records a request, and reports whether the caller has to begin checking the process
// every WatchTime.
func (w *Watch) Add(now time.Time, p Process, r Request) (first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list, watched := w.left[p]
	if !watched && len(w.left) >= maxLosses || len(list) >= maxSuspects {
		return false
	}
	if w.left == nil {
		w.left = map[Process][]leftRequest{}
	}
	w.left[p] = append(list, leftRequest{r, now})
	return !watched
}

// Take ends a check that began at began. It returns the requests if the process has ended.
// If not, it drops those that were watched for WatchTime, and reports whether others
// remain, which need another check.
func (w *Watch) Take(began time.Time, p Process, ended bool) (lost []Request, again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !ended {
		w.left[p] = slices.DeleteFunc(w.left[p], func(r leftRequest) bool { return began.Sub(r.at) >= WatchTime })
		again = len(w.left[p]) > 0
	}
	if again {
		return nil, true
	}
	for _, r := range w.left[p] {
		lost = append(lost, r.Request)
	}
	delete(w.left, p)
	return lost, false
}
