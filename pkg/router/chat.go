package router

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	bytesPerToken = 4 // estimate for a prompt before an engine has counted it
	// prefixBytes of the first messages decide where the prompt is cached.
	// Workspaces share system prompts, which are longer than this.
	prefixBytes = 2 << 10
	maxMessages = 4096
	// maxModelName allows for names with an organisation and a tag.
	maxModelName = 128
)

// chatRequest is what the router needs of a chat completion request.
type chatRequest struct {
	Model       string
	Stream      bool
	PromptUnits uint32 // service units of the prompt, estimated
	PrefixHash  uint64 // 0 if there is no text
}

type chatJSON struct {
	Model    string `json:"model"`
	Stream   bool   `json:"stream"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

// parseChat reads a chat completion request. Unknown fields belong to the
// engine and pass. Errors carry InvalidRequest.
func parseChat(body []byte) (chatRequest, error) {
	var in chatJSON
	d := json.NewDecoder(strings.NewReader(string(body)))
	if err := d.Decode(&in); err != nil {
		return chatRequest{}, result.Wrap(result.InvalidRequest, err, "body is not a chat completion request")
	}
	if _, err := d.Token(); err != io.EOF {
		return chatRequest{}, result.New(result.InvalidRequest, "body has data after the JSON object")
	}
	if in.Model == "" || len(in.Model) > maxModelName {
		return chatRequest{}, result.New(result.InvalidRequest, "model %.80q: 1 to %d bytes", in.Model, maxModelName)
	}
	if len(in.Messages) == 0 || len(in.Messages) > maxMessages {
		return chatRequest{}, result.New(result.InvalidRequest, "messages: %d entries, allowed are 1 to %d", len(in.Messages), maxMessages)
	}
	out := chatRequest{Model: in.Model, Stream: in.Stream}
	hash := xxhash.New()
	_, _ = hash.WriteString(in.Model)
	length, left := 0, prefixBytes
	for _, m := range in.Messages {
		length += len(m.Content)
		take := min(left, len(m.Content))
		_, _ = hash.Write(m.Content[:take])
		left -= take
	}
	out.PromptUnits = uint32((length + bytesPerToken - 1) / bytesPerToken)
	if length > 0 {
		out.PrefixHash = max(hash.Sum64(), 1)
	}
	return out, nil
}
