package router

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

// FuzzParseChat checks that the parser accepts only a JSON object with a model,
// returns InvalidRequest otherwise and does not panic.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatBody(3)))
	f.Add([]byte(`{"model":"p","messages":[{"content":[{"type":"text","text":"x"}]}]}`))
	f.Add([]byte(`{"model":"p","messages":[{}]} {}`))
	f.Add([]byte(`{"model":"a/b","messages":[null]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := parseChat(body)
		if err != nil {
			code, ok := result.CodeOf(err)
			assert.Assert(t, ok && code == result.InvalidRequest)
			return
		}
		assert.Assert(t, json.Valid(body))
		assert.Assert(t, chat.Model != "" && len(chat.Model) <= maxModelNameBytes)
		assert.Assert(t, int(chat.PromptUnits) <= len(body))
		again, err := parseChat(body)
		assert.NilError(t, err)
		assert.DeepEqual(t, chat, again)
	})
}
