package measure

import (
	"fmt"
	"io"
)

// writeDetail prints the data behind the measurements: bytes sent by each
// router, payload bytes by message type, refusals by result code, the causes of
// missed targets, and the mean number of running requests of each engine.
func (f *fleet) writeDetail(w io.Writer) {
	t := f.now.Sub(f.metrics.measuredSince).Seconds()
	fmt.Fprintf(w, "  bytes %v\n  payload %v\n", f.metrics.sentBytes, f.metrics.payloadBytes)
	fmt.Fprintf(w, "  refusals %v\n  missed %v\n", f.metrics.refusals, f.metrics.missedTargets)
	fmt.Fprintf(w, "  utilisation %.4f, prefix hits %d of %d\n", f.metrics.utilisation(), f.metrics.prefixHits, f.metrics.prefixLookups)
	for _, r := range f.routers {
		if h := r.owners["model"]; h != nil {
			for _, v := range h.Snapshot().Servers {
				fmt.Fprintf(w, "  %s %s full %d limit %d cold %v mean %.1f\n", r.id.Name, v.Name, v.Full, v.Limit, v.Cold, f.servers[v.Name].slotSeconds/t)
			}
		}
	}
}
