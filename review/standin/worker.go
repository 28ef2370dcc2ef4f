package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"greengagespoke/platform/wire"
)

// worker is a worker of a service, or a decode engine.
type worker struct {
	id, stage string
	born      int64
	// events is the number of events of a stream, gap the time between two of them.
	events int
	gap    time.Duration
	// work is the time that a plain request takes.
	work time.Duration
	// unframed says that responses to requests have no length and end with their connection.
	unframed bool

	out  sync.Mutex
	next atomic.Int64
}

// runWorker runs a worker until it gets a signal.
func runWorker(args []string) (int, error) {
	w := &worker{}
	var listen string
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&listen, "listen", "", "the address")
	flags.StringVar(&w.id, "id", "", "the id")
	flags.StringVar(&w.stage, "stage", "", "the stage of an engine")
	flags.Int64Var(&w.born, "born", 0, "the start in Unix milliseconds")
	flags.IntVar(&w.events, "events", 0, "the events of a stream")
	flags.DurationVar(&w.gap, "gap", 0, "the time between two events")
	flags.DurationVar(&w.work, "work", 0, "the time that a plain request takes")
	flags.BoolVar(&w.unframed, "unframed", false, "responses end with their connection")
	if err := flags.Parse(args); err != nil {
		return exitFailed, err
	}
	listener, err := net.Listen("tcp4", listen) //nolint:noctx // Loopback.
	if err != nil {
		return exitFailed, err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM)
	w.say("listens")
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(conn)
		}
	}()
	<-stop
	w.say("exits")
	return exitHeld, nil
}

func (w *worker) say(format string, args ...any) {
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// serve serves the requests of a connection, one at a time.
func (w *worker) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !w.answer(conn, req, len(body)) {
			return
		}
	}
}

// answer answers a request and reports whether the connection goes on.
func (w *worker) answer(conn net.Conn, req *http.Request, size int) bool {
	id := req.Header.Get(wire.HeaderRequestID)
	if want := req.Header.Get(wire.HeaderExpectInstance); want != "" && want != w.id {
		return w.reply(conn, "421 Misdirected Request", id, "", "")
	}
	switch {
	case req.URL.Path == wire.PathReport:
		return w.replyJSON(conn, id, wire.EngineReport{Stage: w.stage, Born: float64(w.born)})
	case req.URL.Path == wire.PathReserve:
		return w.replyJSON(conn, id, wire.ReserveResult{Hold: w.id + "-" + strconv.FormatInt(w.next.Add(1), 10)})
	case strings.HasPrefix(req.URL.Path, wire.PathDropHold), strings.HasPrefix(req.URL.Path, wire.PathDropHandle):
		return w.replyJSON(conn, id, struct{}{})
	case w.stage == "decode":
		return w.stream(conn, req, id)
	}
	w.say("runs request %s of %d bytes", id, size)
	time.Sleep(w.work)
	w.say("answers request %s", id)
	return w.reply(conn, "200 OK", id, "seal-"+w.id, "answer to "+id)
}

func (w *worker) replyJSON(conn net.Conn, id string, v any) bool {
	text, err := json.Marshal(v)
	if err != nil {
		return false
	}
	return w.reply(conn, "200 OK", id, "", string(text))
}

func (w *worker) reply(conn net.Conn, status, id, seal, body string) bool {
	head := "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n"
	_, err := io.WriteString(conn, head+idHeader(id)+sealHeader(seal)+"\r\n"+body)
	return err == nil
}

func idHeader(id string) string {
	if id == "" {
		return ""
	}
	return wire.HeaderRequestID + ": " + id + "\r\n"
}

func sealHeader(seal string) string {
	if seal == "" {
		return ""
	}
	return wire.HeaderSeal + ": " + seal + "\r\n"
}

// stream sends the events of a stream after the last one that the caller has.
func (w *worker) stream(conn net.Conn, req *http.Request, id string) bool {
	after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	w.say("runs stream %s, which has %d events, after event %d", id, w.events, after)
	framing := "Transfer-Encoding: chunked\r\n"
	if w.unframed {
		framing = "Connection: close\r\n"
	}
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"+framing+idHeader(id)+sealHeader("seal-"+w.id)+"\r\n")
	for n := after + 1; n <= w.events && err == nil; n++ {
		event := fmt.Sprintf("id: %d\ndata: {\"token\":%d}\n\n", n, n)
		if !w.unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if _, err = io.WriteString(conn, event); err == nil {
			w.say("sent event %d of stream %s", n, id)
			time.Sleep(w.gap)
		}
	}
	if err != nil {
		w.say("stream %s was given up", id)
		return false
	}
	w.say("ends stream %s", id)
	if w.unframed {
		return false
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}
