package registry

// Each calls f for each entry, in any order. f must not modify or keep the entry.
func (r *Registry) Each(f func(e *Entry)) {
	for _, e := range r.entries {
		f(e)
	}
}
