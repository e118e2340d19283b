package measure

import (
	"fmt"
	"io"
)

// detail prints what a missed figure is made of: the payload per kind of
// message, why targets were missed, and the mean use of every engine.
func (f *fleet) detail(w io.Writer) {
	t := f.now.Sub(f.m.from).Seconds()
	fmt.Fprintf(w, "  bytes %v\n  payload %v\n", f.m.bytes, f.m.kinds)
	fmt.Fprintf(w, "  refusals %v\n  missed %v\n", f.m.refusals, f.m.missed)
	fmt.Fprintf(w, "  utilisation %.4f, prefix hits %d of %d\n", f.m.utilisation(), f.m.hits, f.m.lookups)
	for _, r := range f.routers {
		if h := r.owners["model"]; h != nil {
			for _, v := range h.Snapshot().Servers {
				fmt.Fprintf(w, "  %s %s full %d limit %d cold %v mean %.1f\n", r.id.Name, v.Name, v.Full, v.Limit, v.Cold, f.servers[v.Name].inUse/t)
			}
		}
	}
}
