package gatehttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"greengagespoke/domain"
)

// eventWriter writes the frames of one answer as server-sent events. Its buffer
// and chunk are reused from frame to frame.
type eventWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	buf     bytes.Buffer
	enc     *json.Encoder
	c       *domain.Completion
	chunk   answer
	text    string
	delta   chatDelta
	reason  string
	chat    bool
	begun   bool
}

func newEventWriter(w http.ResponseWriter, c *domain.Completion, shape answerShape, now time.Time) *eventWriter {
	e := &eventWriter{
		w:       w,
		flusher: http.NewResponseController(w),
		c:       c,
		chat:    shape.chat,
		chunk: answer{
			ID:      string(c.Request),
			Object:  shape.chunkObject,
			Created: now.Unix(),
			Model:   c.Model,
			Choices: make([]choice, 1),
		},
	}
	e.enc = json.NewEncoder(&e.buf)
	if e.chat {
		e.chunk.Choices[0].Delta = &e.delta
	} else {
		e.chunk.Choices[0].Text = &e.text
	}
	return e
}

// begin sends the response header. It is put off until the first frame, so that
// a refusal still gets its own status code.
func (e *eventWriter) begin() {
	if e.begun {
		return
	}
	e.begun = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

// frame writes one frame. An error means that the caller has gone.
func (e *eventWriter) frame(f domain.Frame) error {
	e.begin()
	e.text = f.Text
	e.delta.Content = f.Text
	if f.Last {
		e.reason = finishReason(e.c, f.Number)
		e.chunk.Choices[0].FinishReason = &e.reason
	}
	e.buf.Reset()
	e.buf.WriteString("id: ")
	e.buf.Write(strconv.AppendInt(e.buf.AvailableBuffer(), int64(f.Number), 10))
	e.buf.WriteString("\ndata: ")
	if err := e.enc.Encode(&e.chunk); err != nil {
		return err
	}
	e.buf.WriteByte('\n')
	return e.flush()
}

// done marks the end of a whole answer.
func (e *eventWriter) done() {
	e.buf.Reset()
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

// fail ends a begun answer with an error event.
func (e *eventWriter) fail(r *domain.Refusal) {
	e.buf.Reset()
	e.buf.WriteString("event: error\ndata: ")
	if err := e.enc.Encode(refusalBody(r)); err != nil {
		return
	}
	e.buf.WriteByte('\n')
	_ = e.flush()
}

func (e *eventWriter) flush() error {
	if _, err := e.w.Write(e.buf.Bytes()); err != nil {
		return err
	}
	return e.flusher.Flush()
}

// stream answers with server-sent events.
func (s *server) stream(w http.ResponseWriter, r *http.Request, c *domain.Completion, shape answerShape) {
	events := newEventWriter(w, c, shape, time.Now())
	err := s.cfg.Gate.Complete(r.Context(), c, events.frame)
	switch {
	case err == nil:
		events.done()
	case events.begun:
		events.fail(asRefusal(err))
	default:
		writeError(w, err)
	}
}
