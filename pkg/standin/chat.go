package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Length and cost of a generated answer.
const (
	maxGeneratedTokens     = 20000
	minDefaultTokens       = 16 // shortest answer if the request sets no max_tokens
	defaultTokensSpread    = 48 // number of default lengths, chosen by a hash of the request
	unitsPerGeneratedToken = 4  // service units
)

var vocabulary = strings.Fields(`apron dice tower linen cherry oak pocket strap
stitch proof colour size board glue slot tray fold hem print order`)

// ChatRequest holds the fields of a chat completion request that the stand-in
// reads.
type ChatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// Prompt returns the roles and contents of all messages as one text.
func (r ChatRequest) Prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// GeneratedTokens returns the tokens of the answer, one word each. They depend
// only on model, prompt and max_tokens, so that a second execution gives the same
// answer.
func (r ChatRequest) GeneratedTokens() []string {
	seed := xxhash.Sum64String(r.Model + "\n" + r.Prompt())
	count := r.MaxTokens
	if count <= 0 {
		count = minDefaultTokens + int(seed%defaultTokensSpread)
	}
	tokens := make([]string, min(count, maxGeneratedTokens))
	for i := range tokens {
		seed = seed*6364136223846793005 + 1442695040888963407
		tokens[i] = vocabulary[(seed>>33)%uint64(len(vocabulary))]
	}
	return tokens
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (u usage) cost() uint64 {
	return uint64(u.PromptTokens) + unitsPerGeneratedToken*uint64(u.CompletionTokens)
}

type chatCompletion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
	// SystemFingerprint is the software version that wrote the event or answer.
	SystemFingerprint string `json:"system_fingerprint,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// sseEvent encodes v as one server-sent event.
func sseEvent(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode stream event: %v", err)) // cannot fail: only strings and numbers
	}
	return []byte("data: " + string(text) + "\n\n")
}

// tokenEvent returns the stream event for one token. The first one carries the
// role.
func tokenEvent(id, model, version, token string, first bool) []byte {
	m := &message{Content: token + " "}
	if first {
		m.Role = "assistant"
	}
	return sseEvent(chatCompletion{ID: id, Object: "chat.completion.chunk", Model: model, SystemFingerprint: version, Choices: []choice{{Delta: m}}})
}

// finalEvents returns the last events of a stream: finish reason, usage and
// [DONE].
func finalEvents(id, model, version string, u usage) []byte {
	stop := "stop"
	end := sseEvent(chatCompletion{ID: id, Object: "chat.completion.chunk", Model: model, SystemFingerprint: version, Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
	end = append(end, sseEvent(chatCompletion{ID: id, Object: "chat.completion.chunk", Model: model, SystemFingerprint: version, Choices: []choice{}, Usage: &u})...)
	return append(end, "data: [DONE]\n\n"...)
}

// completeAnswer returns the response body of a request that does not stream.
func completeAnswer(id, model, version string, tokens []string, u usage) []byte {
	stop := "stop"
	text, err := json.Marshal(chatCompletion{ID: id, Object: "chat.completion", Model: model, SystemFingerprint: version, Usage: &u, Choices: []choice{{
		Message: &message{Role: "assistant", Content: strings.Join(tokens, " ") + " "}, FinishReason: &stop}}})
	if err != nil {
		panic(fmt.Sprintf("encode chat completion: %v", err)) // cannot fail: only strings and numbers
	}
	return append(text, '\n')
}

func sha256Hex(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}
