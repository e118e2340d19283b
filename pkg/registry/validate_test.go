package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two spellings of one address, which would count as two servers, and
// against addresses that no server has.
func TestParseAddress(t *testing.T) {
	for address, want := range map[string]string{
		"10.0.0.1:80": "10.0.0.1:80", "10.0.0.1:00080": "10.0.0.1:80", "[::ffff:10.0.0.1]:80": "10.0.0.1:80", "[2001:db8::1]:80": "[2001:db8::1]:80",
		"10.0.0.1:0": "", "10.0.0.1:65536": "", "10.0.0.1:-1": "", "10.0.0.1": "", ":80": "", "host:80": "", "": "",
		"0.0.0.0:80": "", "[::]:80": "", "224.0.0.1:80": "", "[fe80::1%eth0]:80": "",
	} {
		got, err := ParseAddress(address)
		assert.Equal(t, got, want, address)
		assert.Equal(t, err != nil, want == "", "%s: %v", address, err)
	}
}
