package proxy

import (
	"net/http"
	"net/url"
	"strings"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// ServerURL returns the URL with which net/http sends a request to the server at the
// address with exactly this target, a path with its query as the caller sent it. It
// returns an InvalidRequest error if the target is not of that form or cannot be sent
// unchanged.
func ServerURL(address, target string) (*url.URL, *result.Error) {
	outside := func(r rune) bool { return r <= ' ' || r == 0x7f }
	if !strings.HasPrefix(target, "/") || strings.IndexFunc(target, outside) >= 0 {
		return nil, result.New(result.InvalidRequest, "request target %.64q is not a path", target)
	}
	if !strings.HasPrefix(target, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: target}, nil
	}
	// net/http sends an opaque part that begins with two slashes in absolute form, whose
	// host would be the first segment of the path.
	raw, query, hasQuery := strings.Cut(target, "?")
	path, err := url.PathUnescape(raw)
	u := &url.URL{Scheme: "http", Host: address, Path: path, RawPath: raw, RawQuery: query, ForceQuery: hasQuery}
	if err != nil || u.RequestURI() != target {
		return nil, result.New(result.InvalidRequest, "request target %.64q has characters that must be escaped", target)
	}
	return u, nil
}

// CheckTarget returns the error of ServerURL, and an InvalidRequest error for CONNECT: its
// target is no path, and a success makes the connection a tunnel.
func CheckTarget(method, target string) *result.Error {
	if method == http.MethodConnect {
		return result.New(result.InvalidRequest, "method CONNECT is not supported")
	}
	_, err := ServerURL("", target)
	return err
}
