package router

import (
	"slices"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/release"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// headerLastEventID is the header with which a caller asks for the rest of a stream.
const headerLastEventID = "Last-Event-Id"

// isTakeUp reports whether the request asks for the rest of a stream. An empty value
// asks for nothing.
func (q *request) isTakeUp() bool {
	isSet := func(value string) bool { return value != "" }
	return slices.ContainsFunc(q.req.Header[headerLastEventID], isSet)
}

// refuseTakeUp refuses a request for the rest of a stream if the servers of its pool may
// differ in version, or if this router has not heard yet what they state. Routers keep no
// records of streams, so the release that began it is not known, and servers do not
// compare it.
func (r *Router) refuseTakeUp(q *request) *result.Error {
	if !q.isTakeUp() {
		return nil
	}
	known := r.versions(q.poolName)
	if known == release.One || known == release.Unstated && r.serversHeard.Load() {
		return nil
	}
	r.counters.takeUpsRefused.Inc(1)
	reason := r.whySeveral(q.poolName)
	r.log.WithFields(logrus.Fields{"request": q.id, "workspace": q.workspace.Name, "pool": q.poolName, "reason": reason}).Info("take-up of a stream refused: unknown stream")
	return result.New(result.StreamUnknown, "routers keep no records of streams and %s, so it is not known what began this one", reason)
}
