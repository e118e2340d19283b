package router

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawtrack.example/jackdawtrack/pkg/confirm"
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
// compare it. What this router knows alone only refuses: it may be cut off from control or
// have stood still, so a request goes on only after a majority of the control hosts has
// confirmed what operators state now.
func (r *Router) refuseTakeUp(q *request) *result.Error {
	if !q.isTakeUp() {
		return nil
	}
	if err := r.refuseUnknownVersions(q); err != nil {
		return err
	}
	if err := r.confirmCatalog(q); err != nil {
		r.countRefusedTakeUp(q, err.Error())
		return result.Wrap(result.RecordsUnread, err, "control did not confirm what operators state of the versions of %s", q.poolName).WithRetryAfter(takeUpRetryAfter)
	}
	return r.refuseUnknownVersions(q)
}

func (r *Router) refuseUnknownVersions(q *request) *result.Error {
	known := r.versions(q.poolName)
	if known == release.One || known == release.Unstated && r.hasHeardServers(time.Now()) {
		return nil
	}
	reason := r.whySeveral(q.poolName)
	r.countRefusedTakeUp(q, reason)
	return result.New(result.StreamUnknown, "routers keep no records of streams and %s, so it is not known what began this one", reason)
}

func (r *Router) countRefusedTakeUp(q *request, reason string) {
	r.counters.takeUpsRefused.Inc(1)
	r.log.WithFields(logrus.Fields{"request": q.id, "workspace": q.workspace.Name, "pool": q.poolName, "reason": reason}).Info("take-up of a stream refused: unknown stream")
}

const (
	// catalogConfirmTimeout bounds the wait for the confirmation of the configuration.
	catalogConfirmTimeout = 300 * time.Millisecond
	// takeUpConfirmationAge is the longest time from the confirmation to the answer of the
	// server. Operators state that versions differ before the first server of another one
	// starts, which takes longer.
	takeUpConfirmationAge = time.Second
	// takeUpRetryAfter is the Retry-After of a take-up that was not confirmed.
	takeUpRetryAfter = 300 * time.Millisecond
)

// newCatalogConfirmations returns what confirmCatalog uses, nil without control hosts.
func newCatalogConfirmations(deps Dependencies) *confirm.Shared[struct{}] {
	if deps.Confirm == nil {
		return nil
	}
	return confirm.New(func() (struct{}, error) {
		ctx, cancel := context.WithTimeout(context.Background(), catalogConfirmTimeout)
		defer cancel()
		return struct{}{}, deps.Confirm(ctx)
	})
}

// confirmCatalog returns after this router has applied what operators had stated when it
// was called. Without control hosts there is nothing to ask.
func (r *Router) confirmCatalog(q *request) error {
	if r.confirmations == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(q.context(), catalogConfirmTimeout)
	defer cancel()
	at := time.Now()
	if _, err := r.confirmations.Do(ctx); err != nil {
		return err
	}
	q.confirmedAt = at
	r.counters.takeUpsConfirmed.Inc(1)
	return nil
}

// confirmedVersions returns what known does. For a take-up whose confirmation is old it
// has it repeated first.
func (r *Router) confirmedVersions(q *request, known func() release.Versions) release.Versions {
	if q.isTakeUp() && r.confirmations != nil && time.Since(q.confirmedAt) > takeUpConfirmationAge && r.confirmCatalog(q) != nil {
		return release.Several
	}
	return known()
}
