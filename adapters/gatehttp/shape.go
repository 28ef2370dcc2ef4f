package gatehttp

import (
	"time"

	"greengagespoke/domain"
)

// responseFormat selects one of the two public response formats: text completion
// or chat completion.
type responseFormat struct {
	completeObject string
	chunkObject    string
	chat           bool
}

var (
	completionFormat = responseFormat{completeObject: "text_completion", chunkObject: "text_completion"}
	chatFormat       = responseFormat{completeObject: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
)

// Values of the JSON field finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// responseBody is a complete response or one chunk of a streamed one.
type responseBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatDelta   `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (s responseFormat) completeBody(c *domain.Completion, text string, tokens int, now time.Time) responseBody {
	reason := finishReason(c, tokens)
	prompt := domain.TokenCount(c.Prompt)
	ch := choice{FinishReason: &reason}
	if s.chat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	return responseBody{
		ID:      string(c.Request),
		Object:  s.completeObject,
		Created: now.Unix(),
		Model:   c.Model,
		Choices: []choice{ch},
		Usage:   &usage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens},
	}
}

func finishReason(c *domain.Completion, tokens int) string {
	if tokens >= c.MaxTokens {
		return finishLength
	}
	return finishStop
}
