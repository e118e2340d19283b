package router

import (
	"net/http"
	"time"

	"jackdawtrack.example/jackdawtrack/pkg/burn"
	"jackdawtrack.example/jackdawtrack/pkg/proxy"
	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// recordBurn counts a finished request against the target of its class.
func (r *Router) recordBurn(now time.Time, q *request, report proxy.Report, e *result.Error) {
	s := burn.Sample{
		Class:         q.class,
		Workspace:     q.workspace.Name,
		Waited:        now.Sub(q.arrived),
		Total:         now.Sub(q.arrived),
		TokenInterval: report.TokenInterval,
		CallerLeft:    e != nil && (e.Code == result.CallerLeft || e.Code == result.CallerLeftWaiting),
	}
	if e != nil {
		s.Code = e.Code
	}
	if !q.dispatched.IsZero() {
		s.Waited = q.dispatched.Sub(q.arrived)
	}
	if report.FirstToken > 0 {
		s.FirstByte = s.Waited + report.FirstToken
	}
	if changed := r.dataCentreChanged.Load(); changed != 0 {
		s.SinceDataCentreChange = now.Sub(time.Unix(0, changed))
	}
	r.burn.Record(now, s)
}

// noteDataCentres remembers when a data centre last went out or came back.
func (r *Router) noteDataCentres(now time.Time) {
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
	changed := len(out) != len(r.outCentres)
	for name := range out {
		changed = changed || !r.outCentres[name]
	}
	if changed && r.outCentres != nil {
		r.dataCentreChanged.Store(now.UnixNano())
	}
	r.outCentres = out
}

func (r *Router) serveBurn(w http.ResponseWriter, _ *http.Request) {
	report, err := r.burn.Report(time.Now())
	if err != nil {
		writeJSON(w, http.StatusInternalServerError, map[string]string{"message": err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, report)
}
