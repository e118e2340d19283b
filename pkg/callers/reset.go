package callers

import "context"

// ResetOnClose makes the close of the connection of the request with this context a
// reset.
func ResetOnClose(ctx context.Context) {
	if c, ok := ctx.Value(connContextKey{}).(interface{ SetLinger(seconds int) error }); ok {
		_ = c.SetLinger(0) // fails on a closed connection only
	}
}
