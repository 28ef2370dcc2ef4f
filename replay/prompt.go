package replay

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"greengagespoke/domain"
	"greengagespoke/standin/engine"
)

// lengthMark precedes the true length of the answer at the end of a prompt. Only
// the stand-ins read it.
const lengthMark = "#answer="

// prompts builds the texts of prompts. Documents are built once.
type prompts struct {
	mu        sync.Mutex
	documents map[string]string
}

func newPrompts() *prompts {
	return &prompts{documents: make(map[string]string)}
}

// text returns the prompt of an arrival. Arrivals that share a document share
// that part of the text.
func (p *prompts) text(a Arrival) string {
	end := fmt.Sprintf("%s%06d", lengthMark, a.OutputTokens)
	if a.Poison {
		end = engine.PoisonMarker + end
	}
	document := p.document(a.Document, a.DocumentTokens)
	rest := a.PromptTokens*domain.BytesPerToken - len(document) - len(end)
	unique := string(a.Caller) + "/" + string(a.request)
	if a.Poison {
		// A poisoned request is the same each time it is sent.
		unique = string(a.Caller) + "/poison"
	}
	return document + fill(unique, rest) + end
}

func (p *prompts) document(name string, tokens int) string {
	if name == "" {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	text, ok := p.documents[name]
	if !ok {
		text = fill(name, tokens*domain.BytesPerToken)
		p.documents[name] = text
	}
	return text
}

// fill repeats a text up to a length in bytes.
func fill(text string, length int) string {
	if length <= 0 {
		return ""
	}
	text += " "
	return strings.Repeat(text, length/len(text)+1)[:length]
}

// answerLength reads the true length of the answer from a prompt.
func answerLength(prompt string, maxTokens int) int {
	i := strings.LastIndex(prompt, lengthMark)
	if i < 0 {
		return maxTokens
	}
	n, err := strconv.Atoi(prompt[i+len(lengthMark):])
	if err != nil {
		return maxTokens
	}
	return min(n, maxTokens)
}
