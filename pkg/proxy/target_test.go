package proxy

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sentTarget returns the target of the request line that net/http writes.
func sentTarget(t *testing.T, method, target string) string {
	u, refusal := ServerURL("192.0.2.1:80", target)
	assert.Assert(t, refusal == nil, "%v", refusal)
	var out bytes.Buffer
	assert.NilError(t, (&http.Request{Method: method, Host: "h", URL: u}).Write(&out))
	line, err := bufio.NewReader(&out).ReadString('\n')
	assert.NilError(t, err)
	sent, ok := strings.CutPrefix(line, method+" ")
	assert.Assert(t, ok, line)
	sent, ok = strings.CutSuffix(sent, " HTTP/1.1\r\n")
	assert.Assert(t, ok, line)
	return sent
}

// Guards against a request that reaches a server with another target than its caller's,
// in absolute form for example, or with an empty one.
func TestTargetIsSentByteByByte(t *testing.T) {
	for _, target := range []string{
		"/", "/?", "/x?a=1&a=2", "//", "///", "//?", "//host/x", "//host/x?", "//host:80/..", "//user@host/x?a=//b", "//x%2Fy", "//x%2fy/%41", "///x//y///", "/./x/../y", "//./..",
		`/x\y`, "/x%zz", "/é", "/x#y", "/x;a=1,b", "//x;a=1,b", "/http://host/x", "//[::1]:80/x", "//x?é#\"<>", "/" + strings.Repeat("//x", 5000),
	} {
		assert.Equal(t, sentTarget(t, "GET", target), target)
	}
}

// Guards against a target that names another host, or that becomes more than one field of
// the request line.
func TestTargetThatIsNoPathIsRefused(t *testing.T) {
	for _, target := range []string{"", "*", "x", "?a", "host:80", "http://host/x", "http:/x", `\x`, " /x", "/x y", "/x HTTP/1.1\r\nA: b", "/x\x00", "/x\x7f", "//x%zz", "//é", `//x\y`, "//x#y"} {
		_, refusal := ServerURL("192.0.2.1:80", target)
		assert.Assert(t, refusal != nil, "%q", target)
	}
	assert.Assert(t, CheckTarget("CONNECT", "/x") != nil)
	assert.Assert(t, CheckTarget("GET", "/x") == nil)
}

// Guards against any other target that is changed on its way to a server.
func FuzzServerURL(f *testing.F) {
	for _, seed := range []string{"//host/x?y", "///%2F", "//x?", "/\\", "//:80", "//%5B::1%5D/"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if _, refusal := ServerURL("192.0.2.1:80", target); refusal == nil {
			assert.Equal(t, sentTarget(t, "GET", target), target)
		}
	})
}
