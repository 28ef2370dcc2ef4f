package gatehttp

import (
	"time"

	"greengagespoke/domain"
)

// answerShape says which of the two public answer forms is written.
type answerShape struct {
	wholeObject string
	chunkObject string
	chat        bool
}

var (
	completionShape = answerShape{wholeObject: "text_completion", chunkObject: "text_completion"}
	chatShape       = answerShape{wholeObject: "chat.completion", chunkObject: "chat.completion.chunk", chat: true}
)

// Values of finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// answer is a whole answer or one chunk of it.
type answer struct {
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

func (s answerShape) whole(c *domain.Completion, text string, tokens int, now time.Time) answer {
	reason := finishReason(c, tokens)
	prompt := domain.TokenCount(c.Prompt)
	ch := choice{FinishReason: &reason}
	if s.chat {
		ch.Message = &chatMessage{Role: "assistant", Content: text}
	} else {
		ch.Text = &text
	}
	return answer{
		ID:      string(c.Request),
		Object:  s.wholeObject,
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
