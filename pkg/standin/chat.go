package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of an answer.
const (
	maxTokens         = 20000
	shortestAnswer    = 16 // tokens, if the request sets no limit
	answerSpread      = 48 // tokens
	unitsPerGenerated = 4  // service units of one generated token
)

var vocabulary = strings.Fields(`apron dice tower linen cherry oak pocket strap
stitch proof colour size board glue slot tray fold hem print order`)

// ChatRequest is the part of a chat completion request that the stand-in
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

// Prompt returns the text of all messages.
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

// Words returns the generated tokens, one word each. They depend on model,
// prompt and max_tokens alone, so that a second run gives the same answer.
func (r ChatRequest) Words() []string {
	seed := xxhash.Sum64String(r.Model + "\n" + r.Prompt())
	count := r.MaxTokens
	if count <= 0 {
		count = shortestAnswer + int(seed%answerSpread)
	}
	words := make([]string, min(count, maxTokens))
	for i := range words {
		seed = seed*6364136223846793005 + 1442695040888963407
		words[i] = vocabulary[(seed>>33)%uint64(len(vocabulary))]
	}
	return words
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (u usage) cost() uint64 {
	return uint64(u.PromptTokens) + unitsPerGenerated*uint64(u.CompletionTokens)
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
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

func event(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("chunk cannot be encoded: %v", err)) // only plain fields
	}
	return []byte("data: " + string(text) + "\n\n")
}

// tokenEvent returns the event of one generated word.
func tokenEvent(id, model, word string, first bool) []byte {
	m := &message{Content: word + " "}
	if first {
		m.Role = "assistant"
	}
	return event(chunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: m}}})
}

// finalEvents returns the end of a stream: finish reason, usage, [DONE].
func finalEvents(id, model string, u usage) []byte {
	stop := "stop"
	end := event(chunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []choice{{Delta: &message{}, FinishReason: &stop}}})
	end = append(end, event(chunk{ID: id, Object: "chat.completion.chunk", Model: model, Choices: []choice{}, Usage: &u})...)
	return append(end, "data: [DONE]\n\n"...)
}

// wholeAnswer returns the answer of a request that does not stream.
func wholeAnswer(id, model string, words []string, u usage) []byte {
	stop := "stop"
	text, err := json.Marshal(chunk{ID: id, Object: "chat.completion", Model: model, Usage: &u, Choices: []choice{{
		Message: &message{Role: "assistant", Content: strings.Join(words, " ") + " "}, FinishReason: &stop}}})
	if err != nil {
		panic(fmt.Sprintf("answer cannot be encoded: %v", err)) // only plain fields
	}
	return append(text, '\n')
}

func sum(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:])
}
