package router

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// recordBurn records whether a finished request met the latency target of its
// class, for the error budget burn report.
func (r *Router) recordBurn(now time.Time, q *request, report proxy.Report, e *result.Error) {
	s := burn.RequestSample{
		Class:         q.class,
		Workspace:     q.workspace.Name,
		QueueTime:     now.Sub(q.arrivedAt),
		Total:         now.Sub(q.arrivedAt),
		TokenInterval: report.TokenInterval,
		CallerLeft:    e != nil && (e.Code == result.CallerLeft || e.Code == result.CallerLeftWaiting),
	}
	if e != nil {
		s.Code = e.Code
	}
	if !q.dispatchedAt.IsZero() {
		s.QueueTime = q.dispatchedAt.Sub(q.arrivedAt)
	}
	if report.FirstToken > 0 {
		s.FirstByte = s.QueueTime + report.FirstToken
	}
	if changed := r.dataCentreChangedAt.Load(); changed != 0 {
		s.SinceDataCentreChange = now.Sub(time.Unix(0, changed))
	}
	r.burn.Record(now, s)
}

// trackDataCentreChanges records the time of the last change to the set of data
// centres that are out of service.
func (r *Router) trackDataCentreChanges(now time.Time) {
	cat := r.catalog.Load()
	if cat == nil {
		return
	}
	out := make(map[string]bool)
	for _, d := range cat.DataCentres() {
		if r.dataCentreOut(d.Name) {
			out[d.Name] = true
		}
	}
	changed := len(out) != len(r.outDataCentres)
	for name := range out {
		changed = changed || !r.outDataCentres[name]
	}
	if changed && r.outDataCentres != nil {
		r.dataCentreChangedAt.Store(now.UnixNano())
	}
	r.outDataCentres = out
}

func (r *Router) serveBurn(w http.ResponseWriter, _ *http.Request) {
	report, err := r.burn.Report(time.Now())
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"message": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, report)
}
