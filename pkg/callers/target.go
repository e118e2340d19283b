package callers

import (
	"net/http"
	"strings"
)

// Target returns the path and query of a request byte by byte as the caller sent them,
// also if the target is in absolute form. Any other target is returned as it is; no
// route has it.
func Target(r *http.Request) string {
	target := r.RequestURI
	scheme, rest, absolute := strings.Cut(target, "://")
	if !absolute || strings.ContainsAny(scheme, "/?") || r.URL.Host == "" || r.URL.Scheme != "http" && r.URL.Scheme != "https" {
		return target
	}
	switch end := strings.IndexAny(rest, "/?"); {
	case end < 0:
		return "/"
	case rest[end] == '?':
		return "/" + rest[end:]
	default:
		return rest[end:]
	}
}
