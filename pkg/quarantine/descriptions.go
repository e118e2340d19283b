package quarantine

import "fmt"

// maxDescribedTarget bounds the path and query in the description of a request.
const maxDescribedTarget = 256

// Descriptions holds the text that tells operators which request a fingerprint stands
// for, for about as many requests as there are verdicts. Its zero value is ready to
// use. It is not safe for concurrent use.
type Descriptions struct{ bySuspect map[uint64]string }

// Add describes a request that was refused.
func (d *Descriptions) Add(suspect uint64, method, host, target, workspace string) {
	if _, known := d.bySuspect[suspect]; known {
		return
	}
	if d.bySuspect == nil || len(d.bySuspect) >= MaxVerdicts {
		d.bySuspect = map[uint64]string{}
	}
	target = target[:min(len(target), maxDescribedTarget)]
	d.bySuspect[suspect] = fmt.Sprintf("%s %s%s of workspace %q", method, host, target, workspace)
}

// Complete adds the descriptions to entries.
func (d *Descriptions) Complete(entries []Entry) {
	for i := range entries {
		entries[i].Request = d.bySuspect[entries[i].Suspect]
	}
}
