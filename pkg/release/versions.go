package release

// Versions is what is known of the software versions of the servers of one service.
type Versions int

// What can be known. The zero value is what operators state by default.
const (
	// Unstated: neither operators nor servers state anything.
	Unstated Versions = iota
	// One: all servers have the same version at any time.
	One
	// Several: servers may differ at any time.
	Several
)

// String returns the word that operators use.
func (v Versions) String() string {
	switch v {
	case Unstated:
		return "unstated"
	case One:
		return "one"
	default:
		return "several"
	}
}
