package gatehttp

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"greengagespoke/domain"
)

// eventWriter writes the frames of one response as server-sent events. It reuses
// its buffer and chunk for all frames.
type eventWriter struct {
	w          http.ResponseWriter
	flusher    *http.ResponseController
	buf        bytes.Buffer
	enc        *json.Encoder
	c          *domain.Completion
	chunk      responseBody
	text       string
	delta      chatDelta
	reason     string
	chat       bool
	headerSent bool
}

func newEventWriter(w http.ResponseWriter, c *domain.Completion, format responseFormat, now time.Time) *eventWriter {
	e := &eventWriter{
		w:       w,
		flusher: http.NewResponseController(w),
		c:       c,
		chat:    format.chat,
		chunk: responseBody{
			ID:      string(c.Request),
			Object:  format.chunkObject,
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

// sendHeader sends the response header once. It is delayed until the first frame,
// so that a refusal before that is sent with its own status code.
func (e *eventWriter) sendHeader() {
	if e.headerSent {
		return
	}
	e.headerSent = true
	h := e.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	e.w.WriteHeader(http.StatusOK)
}

// writeFrame writes one frame. An error means that the caller disconnected.
func (e *eventWriter) writeFrame(f domain.Frame) error {
	e.sendHeader()
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

// writeDone writes the event that marks the end of a complete response.
func (e *eventWriter) writeDone() {
	e.buf.Reset()
	e.buf.WriteString("data: [DONE]\n\n")
	_ = e.flush()
}

// writeErrorEvent ends a response that has already started with an error event.
func (e *eventWriter) writeErrorEvent(r *domain.Refusal) {
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

// writeStream writes the response as server-sent events.
func (s *server) writeStream(w http.ResponseWriter, r *http.Request, c *domain.Completion, format responseFormat) {
	events := newEventWriter(w, c, format, time.Now())
	err := s.cfg.Gate.Complete(r.Context(), c, events.writeFrame)
	switch {
	case err == nil:
		events.writeDone()
	case events.headerSent:
		events.writeErrorEvent(asRefusal(err))
	default:
		writeError(w, err)
	}
}
