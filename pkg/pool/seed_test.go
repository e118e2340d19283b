package pool

import "flag"

// The random input of every run is the same; -rapid.seed chooses another one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "20240817", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
