package registry

import "time"

// knownLongerTime is the difference of KnownSince from which it decides between two
// announcements. It is above the time that an announcement takes between hosts.
const knownLongerTime = time.Second

// contradicts reports whether another announcement states something else that a server
// process can't change. One of them comes from another writer then. Only a process that
// states its start time can be told from the one before it.
func (e *Entry) contradicts(other *Entry) bool {
	if e.StartMS == 0 || e.StartMS != other.StartMS || e.State == Gone || other.State == Gone {
		return false
	}
	return e.Service != other.Service || e.Address != other.Address || e.DataCentre != other.DataCentre || e.Release != other.Release
}

// isKnownLonger reports whether hosts have known the entry for longer than the other. A host
// that states no KnownSince is of an earlier release.
func (e *Entry) isKnownLonger(other *Entry) bool {
	return !e.KnownSince.IsZero() && (other.KnownSince.IsZero() || other.KnownSince.Sub(e.KnownSince) > knownLongerTime)
}
