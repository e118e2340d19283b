package router

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawtrack.example/jackdawtrack/pkg/result"
)

const (
	bytesPerToken = 4 // estimate, used until an engine has counted the tokens
	// prefixHashBytes is the number of bytes of message content that are hashed
	// to select a server with the prompt in its cache. It is shorter than the
	// system prompts that the requests of a workspace share.
	prefixHashBytes = 2 << 10
	maxMessages     = 4096
	// maxModelNameBytes leaves room for an organisation and a tag in the name.
	maxModelNameBytes = 128
)

// chatRequest holds the fields of a chat completion request that the router
// uses.
type chatRequest struct {
	Model       string
	Stream      bool
	PromptUnits uint32 // estimated size of the prompt in service units
	PrefixHash  uint64 // hash of the model and the first prefixHashBytes, 0 without content
	// Prefixes are the hashes of the model and the first messages, for each number
	// of messages below all, up to quarantine.MaxRequestParts.
	Prefixes []uint64
}

type chatJSON struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parseChat parses a chat completion request. It ignores unknown fields, which
// are meant for the engine. Errors have the code InvalidRequest.
func parseChat(body []byte) (chatRequest, error) {
	var parsed chatJSON
	d := json.NewDecoder(strings.NewReader(string(body)))
	if err := d.Decode(&parsed); err != nil {
		return chatRequest{}, result.Wrap(result.InvalidRequest, err, "body is not a chat completion request")
	}
	if _, err := d.Token(); err != io.EOF {
		return chatRequest{}, result.New(result.InvalidRequest, "body has data after the JSON object")
	}
	if parsed.Model == "" || len(parsed.Model) > maxModelNameBytes {
		return chatRequest{}, result.New(result.InvalidRequest, "model %.80q must have 1 to %d bytes", parsed.Model, maxModelNameBytes)
	}
	if len(parsed.Messages) == 0 || len(parsed.Messages) > maxMessages {
		return chatRequest{}, result.New(result.InvalidRequest, "messages has %d entries, allowed are 1 to %d", len(parsed.Messages), maxMessages)
	}
	out := chatRequest{Model: parsed.Model, Stream: parsed.Stream, Prefixes: prefixHashes(parsed.Model, parsed.Messages)}
	hash := xxhash.New()
	_, _ = hash.WriteString(parsed.Model)
	contentBytes, remaining := 0, prefixHashBytes
	for _, m := range parsed.Messages {
		contentBytes += len(m.Content)
		n := min(remaining, len(m.Content))
		_, _ = hash.Write(m.Content[:n])
		remaining -= n
	}
	out.PromptUnits = uint32((contentBytes + bytesPerToken - 1) / bytesPerToken)
	if contentBytes > 0 {
		out.PrefixHash = max(hash.Sum64(), 1)
	}
	return out, nil
}
