// Package httpwire guards the client's end of HTTP/1 connections. net/http accepts more than
// RFC 9110 and RFC 9112 allow; a response that they do not allow is an error here, as neither its
// status nor its end is certain.
package httpwire

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
)

var (
	// ErrMalformed means that what a server sent is not a response of HTTP/1.
	ErrMalformed = errors.New("the response is not one that HTTP allows; check what listens at the server's address")
	// ErrHeadTooLarge means that a head is longer than this system reads.
	ErrHeadTooLarge = errors.New("the head of the response is too large; check what listens at the server's address")
)

const (
	// maxQuotedBytes bounds the part of a line that an error quotes.
	maxQuotedBytes = 32
	// minStatus and maxStatus bound the status codes of HTTP.
	minStatus = 100
	maxStatus = 599
	// statusDigits is the number of digits of a status code.
	statusDigits = 3
)

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, args...)...)
}

// head checks the heads of a response, with those of the interim responses (1xx) before it, as
// their bytes come.
type head struct {
	// left is the number of bytes that may still come.
	left int
	// line is what has come of the current line.
	line []byte
	// status is the status of the current head, 0 before its status line.
	status int
	// minor is the minor version of the current head. coded says that it has a transfer coding, sized
	// that it has a length, and lengthy that the length is not 0.
	minor                 byte
	coded, sized, lengthy bool
	ended                 bool
	err                   error
}

// check takes the next bytes of the connection. It returns an error once they are no head. Bytes
// behind the head are not looked at.
func (h *head) check(p []byte) error {
	for len(p) > 0 && !h.ended && h.err == nil {
		end := bytes.IndexByte(p, '\n') + 1
		part := p[:end]
		if end == 0 {
			part = p
		}
		p = p[len(part):]
		if h.left -= len(part); h.left < 0 {
			h.err = ErrHeadTooLarge
			return h.err
		}
		if end == 0 || len(h.line) > 0 {
			h.line = append(h.line, part...)
			part = h.line
		}
		if end > 0 {
			h.err = h.addLine(part)
			h.line = h.line[:0]
		}
	}
	return h.err
}

// addLine checks a line with its end. A line feed alone ends a line too (RFC 9112, section 2.2).
func (h *head) addLine(line []byte) error {
	line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
	switch {
	case h.status == 0:
		return h.setStatus(line)
	case len(line) > 0:
		return h.addField(line)
	}
	err := h.checkFraming()
	h.ended = err == nil && !isInterim(h.status)
	h.status, h.coded, h.sized, h.lengthy = 0, false, false, false
	return err
}

// setStatus checks a status line (RFC 9112, section 4). The space before a reason that is empty may
// be missing.
func (h *head) setStatus(line []byte) error {
	rest, isVersion := bytes.CutPrefix(line, []byte("HTTP/1."))
	if !isVersion || len(rest) < 2 || !isDigit(rest[0]) || rest[1] != ' ' {
		return malformed("the status line %.*q", maxQuotedBytes, line)
	}
	code, reason, _ := bytes.Cut(rest[2:], []byte(" "))
	if len(code) != statusDigits || bytes.ContainsFunc(code, isNoDigit) || !isText(reason) {
		return malformed("the status line %.*q", maxQuotedBytes, line)
	}
	h.minor = rest[0]
	for _, digit := range code {
		h.status = 10*h.status + int(digit-'0')
	}
	return checkStatus(h.status)
}

// checkStatus checks a status code (RFC 9110, section 15). No request asks for another protocol, so
// that none may follow.
func checkStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("the status %03d", status)
	}
	return nil
}

func isInterim(status int) bool { return status/100 == 1 }

// addField checks a field line (RFC 9112, section 5). A folded line, which begins with white space,
// is none: a gateway may refuse the response then (section 5.2).
func (h *head) addField(line []byte) error {
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) || !isText(value) {
		return malformed("the field line %.*q", maxQuotedBytes, line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.coded = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.sized, h.lengthy = true, h.lengthy || len(bytes.Trim(value, " \t0")) > 0
	}
	return nil
}

// checkFraming returns an error if the end of a response is not certain (RFC 9112, sections 6.1 and
// 6.2). The length 0 is harmless where HTTP allows no length.
func (h *head) checkFraming() error {
	bodiless := isInterim(h.status) || h.status == http.StatusNoContent
	switch {
	case h.coded && h.minor == '0':
		return malformed("HTTP/1.0 with a transfer coding")
	case h.coded && h.sized:
		return malformed("a transfer coding and a length")
	case bodiless && (h.coded || h.lengthy):
		return malformed("the status %d with a body", h.status)
	}
	return nil
}

// Check returns an error unless HTTP allows what net/http has read as the head of a response. Reading
// the body to its end returns one unless HTTP allows its trailers.
func Check(resp *http.Response) error {
	if len(resp.TransferEncoding) > 0 && resp.Body != http.NoBody {
		resp.Body = trailedBody{resp.Body, resp}
	}
	return errors.Join(checkNames(resp.Header), checkStatus(resp.StatusCode))
}

// checkNames checks the names of fields. A field that is only announced has no values yet.
func checkNames(fields http.Header) error {
	for name, values := range fields {
		if !isToken(name) && len(values) > 0 {
			return malformed("the field name %.*q", maxQuotedBytes, name)
		}
	}
	return nil
}

// trailedBody is a body that trailers may follow.
type trailedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		err = cmp.Or(checkNames(b.resp.Trailer), err)
	}
	return n, err
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isNoDigit(r rune) bool { return r < '0' || r > '9' }

// isToken reports whether a text may be the name of a field (RFC 9110, section 5.6.2).
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !tokenBytes[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// tokenBytes holds the bytes of tokens.
var tokenBytes = func() (set [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		set[c] = true
	}
	return set
}()

// isText reports whether bytes may be in the value of a field or in a reason.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
