package proxy

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a result that depends on how the stream is split into reads:
// inside CR LF, inside the end marker, or inside a line with a usage object.
func FuzzScanner(f *testing.F) {
	f.Add([]byte("data: {\"usage\":{\"prompt_tokens\":1}}\r\n\r\ndata: [DONE]\r\n\r\n"), uint8(3))
	f.Add([]byte(": ping\n\ndata: a\ndata: b\n\ndata: [DONE]\n\n"), uint8(1))
	f.Add([]byte("data: [DONE]\r\rdata:x\r\n\n"), uint8(2))
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var whole, parts Scanner
		last := whole.Write(stream)
		size := int(step%16) + 1
		boundary := 0
		for at := 0; at < len(stream); at += size {
			end := min(at+size, len(stream))
			if b := parts.Write(stream[at:end]); b > 0 {
				boundary = at + b
			}
		}
		assert.Equal(t, whole.Events, parts.Events)
		assert.Equal(t, whole.Done, parts.Done)
		assert.Equal(t, whole.SawEndMarker(), parts.SawEndMarker())
		assert.Equal(t, last, boundary)
		assert.Equal(t, whole.Usage == nil, parts.Usage == nil)
		if whole.Usage != nil {
			assert.Equal(t, *whole.Usage, *parts.Usage)
		}
		assert.Assert(t, len(parts.line) <= maxLineBytes)
		if !bytes.Contains(stream, endMarker) {
			assert.Assert(t, !whole.SawEndMarker())
		}
	})
}

// Guards against a usage object that is missed because the response is longer than
// the tail buffer.
func TestTailFindsUsage(t *testing.T) {
	answer := append(bytes.Repeat([]byte("x"), 3*maxTailBytes), `,"usage": {"prompt_tokens":7,"completion_tokens":2}}`...)
	for _, step := range []int{1, 100, len(answer)} {
		var k tail
		for at := 0; at < len(answer); at += step {
			k.write(answer[at:min(at+step, len(answer))])
		}
		assert.DeepEqual(t, k.usage(), &Usage{PromptTokens: 7, CompletionTokens: 2})
	}
}
