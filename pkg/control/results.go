package control

import (
	"google.golang.org/protobuf/proto"

	apiv1 "jackdawtrack.example/jackdawtrack/api/v1"
)

// commandResult is the stored result of the first execution of a command.
type commandResult struct {
	fingerprint string
	response    *apiv1.SubmitResponse
	sizeBytes   int
}

// commandResults holds the results of the latest commands, limited by count and
// by maxCommandResultBytes.
type commandResults struct {
	limit int
	byID  map[string]commandResult
	order []string // command ids, oldest first
	bytes int
}

func newCommandResults(limit int) commandResults {
	return commandResults{limit: limit, byID: map[string]commandResult{}}
}

func (r *commandResults) lookup(id string) (commandResult, bool) {
	v, ok := r.byID[id]
	return v, ok
}

func (r *commandResults) add(id, hash string, response *apiv1.SubmitResponse) {
	entry := commandResult{fingerprint: hash, response: response, sizeBytes: len(id) + len(hash) + proto.Size(response)}
	r.byID[id] = entry
	r.order = append(r.order, id)
	r.bytes += entry.sizeBytes
	for len(r.order) > r.limit || r.bytes > maxCommandResultBytes {
		oldest := r.order[0]
		r.order = r.order[1:]
		r.bytes -= r.byID[oldest].sizeBytes
		delete(r.byID, oldest)
	}
}
