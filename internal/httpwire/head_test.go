package httpwire

import (
	"errors"
	"strings"
	"testing"
)

// maxTestHead is the limit of heads in tests.
const maxTestHead = 1000

// checkHead checks a head that comes in parts of a size. ended says that it was complete.
func checkHead(text string, size int) (ended bool, err error) {
	h := &head{left: maxTestHead}
	for rest := []byte(text); len(rest) > 0 && err == nil; {
		n := min(size, len(rest))
		err = h.check(rest[:n])
		rest = rest[n:]
	}
	return h.ended, err
}

// All that HTTP allows must pass, however its bytes come.
func TestHeadsThatHTTPAllows(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 \r\n\r\n",
		"HTTP/1.1 200\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\n",
		"HTTP/1.1 299 Odd\treason \xe9\r\n\r\n",
		"HTTP/1.1 599 Highest\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: v\r\nX:\r\nX-Text:\t caf\xe9 \x80 a:b \r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 7\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 404 Not Found\r\n\r\n",
	} {
		for _, size := range []int{1, 2, 7, len(text)} {
			if ended, err := checkHead(text, size); !ended || err != nil {
				t.Errorf("%q in parts of %d: ended %t, error %v", text, size, ended, err)
			}
		}
	}
}

func TestHeadsThatHTTPDoesNotAllow(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 OK\r\n", "HTTP/1.1 099 OK\r\n", "HTTP/1.1 600 OK\r\n", "HTTP/1.1 -00 OK\r\n", "HTTP/1.1 +20 OK\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n",
		"HTTP/1.1 20 OK\r\n", "HTTP/1.1 2000 OK\r\n", "HTTP/1.1 2\x0000 OK\r\n", "HTTP/1.1  200 OK\r\n", "HTTP/1.1\t200 OK\r\n",
		"HTTP/2.0 200 OK\r\n", "HTTP/0.9 200 OK\r\n", "HTTP/1.x 200 OK\r\n", "HTTP/1.10 200 OK\r\n", "http/1.1 200 OK\r\n", "ICY 200 OK\r\n",
		"HTTP/1.1 200 O\x00K\r\n", "HTTP/1.1 200 OK\r\r\n", "HTTP/1.1\r\n", "\r\n", "\r\nHTTP/1.1 200 OK\r\n", "ok\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
		"HTTP/1.1 200 OK\r\nX Odd: v\r\n", "HTTP/1.1 200 OK\r\nX-Odd : v\r\n", "HTTP/1.1 200 OK\r\n X-Odd: v\r\n",
		"HTTP/1.1 200 OK\r\nX: v\r\n folded\r\n", "HTTP/1.1 200 OK\r\nX: v\r\n\tX-Odd: v\r\n", "HTTP/1.1 200 OK\r\nX: v\r\n \r\n",
		"HTTP/1.1 200 OK\r\nX\x00: v\r\n", "HTTP/1.1 200 OK\r\nX\x1fY: v\r\n", "HTTP/1.1 200 OK\r\nX\x7f: v\r\n", "HTTP/1.1 200 OK\r\nX\t: v\r\n",
		"HTTP/1.1 200 OK\r\nX\xe9: v\r\n", "HTTP/1.1 200 OK\r\nX(Y): v\r\n", "HTTP/1.1 200 OK\r\nX{: v\r\n", "HTTP/1.1 200 OK\r\n: v\r\n",
		"HTTP/1.1 200 OK\r\nno colon\r\n", "HTTP/1.1 200 OK\r\nX: a\x00b\r\n", "HTTP/1.1 200 OK\r\nX: a\rb: c\r\n", "HTTP/1.1 200 OK\r\nX: v\r\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\ntransfer-encoding: chunked\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n", "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nContent-Length: 7\r\n\r\n",
	} {
		for _, size := range []int{1, 2, 7, len(text)} {
			if _, err := checkHead(text, size); !errors.Is(err, ErrMalformed) {
				t.Errorf("%q in parts of %d: error %v", text, size, err)
			}
		}
	}
}

// The limit counts the heads, and not what follows them.
func TestHeadLimit(t *testing.T) {
	begin := "HTTP/1.1 200 OK\r\nX: "
	for length, want := range map[int]error{maxTestHead: nil, maxTestHead + 1: ErrHeadTooLarge} {
		text := begin + strings.Repeat("x", length-len(begin)-4) + "\r\n\r\n"
		for _, size := range []int{1, 64, length} {
			if _, err := checkHead(text, size); !errors.Is(err, want) {
				t.Errorf("a head of %d bytes: error %v, want %v", length, err, want)
			}
		}
	}
	if ended, err := checkHead("HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2*maxTestHead), maxTestHead); !ended || err != nil {
		t.Errorf("a long body: ended %t, error %v", ended, err)
	}
}
