package control

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// storedResult is the first result of a command.
type storedResult struct {
	fingerprint string
	response    *apiv1.SubmitResponse
	size        int
}

// results keeps the results of the latest commands, bounded by MaxResults and
// maxResultBytes.
type results struct {
	limit int
	byID  map[string]storedResult
	order []string // command ids, oldest first
	bytes int
}

func newResults(limit int) results {
	return results{limit: limit, byID: map[string]storedResult{}}
}

func (r *results) find(id string) (storedResult, bool) {
	v, ok := r.byID[id]
	return v, ok
}

func (r *results) keep(id, print string, response *apiv1.SubmitResponse) {
	stored := storedResult{fingerprint: print, response: response, size: len(id) + len(print) + proto.Size(response)}
	r.byID[id] = stored
	r.order = append(r.order, id)
	r.bytes += stored.size
	for len(r.order) > r.limit || r.bytes > maxResultBytes {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.bytes -= r.byID[oldest].size
		delete(r.byID, oldest)
	}
}
