package peerrpc

import (
	"expvar"
	"net/http"
	"strconv"
	"strings"

	"greengagespoke/counters"
)

// service names one of the twirp services in counters.
type service string

const (
	serviceKeeper  service = "keeper"
	serviceGossip  service = "gossip"
	serviceTables  service = "tables"
	serviceGate    service = "gate"
	serviceRelay   service = "relay"
	serviceRates   service = "rates"
	serviceOrigins service = "origins"
	serviceReach   service = "reach"
	serviceQuotas  service = "quotas"
)

var services = []service{serviceKeeper, serviceGossip, serviceTables, serviceGate, serviceRelay, serviceRates, serviceOrigins, serviceReach, serviceQuotas}

// trafficDefs are the counter definitions of one service.
type trafficDefs struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes counters.Def
}

func defineTraffic(s service) trafficDefs {
	name := "peerrpc_" + string(s)
	return trafficDefs{
		sentMessages:     counters.Define(name+"_sent_messages", "requests and answers of the "+string(s)+" service sent to other hosts"),
		sentBytes:        counters.Define(name+"_sent_bytes", "bytes of those, HTTP headers included"),
		receivedMessages: counters.Define(name+"_received_messages", "requests and answers of the "+string(s)+" service received from other hosts"),
		receivedBytes:    counters.Define(name+"_received_bytes", "bytes of those, HTTP headers included"),
	}
}

var (
	trafficDefsByService = map[service]trafficDefs{
		serviceKeeper:  defineTraffic(serviceKeeper),
		serviceGossip:  defineTraffic(serviceGossip),
		serviceTables:  defineTraffic(serviceTables),
		serviceGate:    defineTraffic(serviceGate),
		serviceRelay:   defineTraffic(serviceRelay),
		serviceRates:   defineTraffic(serviceRates),
		serviceOrigins: defineTraffic(serviceOrigins),
		serviceReach:   defineTraffic(serviceReach),
		serviceQuotas:  defineTraffic(serviceQuotas),
	}
	defUnauthenticated = counters.Define("peerrpc_unauthenticated", "requests of other hosts refused because of a wrong key or clock")
	defUnreachable     = counters.Define("peerrpc_unreachable", "calls to other hosts that got no answer")
)

// serviceTraffic counts the messages of one service.
type serviceTraffic struct {
	sentMessages, sentBytes, receivedMessages, receivedBytes *expvar.Int
}

func (t serviceTraffic) sent(bytes int) {
	t.sentMessages.Add(1)
	t.sentBytes.Add(int64(bytes))
}

func (t serviceTraffic) received(bytes int) {
	t.receivedMessages.Add(1)
	t.receivedBytes.Add(int64(bytes))
}

// traffic counts the messages between hosts by service.
type traffic struct {
	byService       map[service]serviceTraffic
	unauthenticated *expvar.Int
	unreachable     *expvar.Int
}

func newTraffic(set *counters.Set) *traffic {
	if set == nil {
		set = counters.NewSet()
	}
	t := &traffic{
		byService:       make(map[service]serviceTraffic),
		unauthenticated: set.Int(defUnauthenticated),
		unreachable:     set.Int(defUnreachable),
	}
	for _, s := range services {
		defs := trafficDefsByService[s]
		t.byService[s] = serviceTraffic{
			sentMessages:     set.Int(defs.sentMessages),
			sentBytes:        set.Int(defs.sentBytes),
			receivedMessages: set.Int(defs.receivedMessages),
			receivedBytes:    set.Int(defs.receivedBytes),
		}
	}
	return t
}

// headerSize returns the length of the header lines in bytes, including
// separators.
func headerSize(h http.Header) int {
	const separators = len(": \r\n")
	n := 0
	for key, values := range h {
		for _, value := range values {
			// net/http does not send a User-Agent that is empty.
			if value == "" {
				continue
			}
			n += len(key) + len(value) + separators
		}
	}
	return n
}

// requestSize returns the length of a request on the connection in bytes: its
// request line, headers and body.
func requestSize(r *http.Request, body int) int {
	line := len(r.Method) + len(" ") + len(r.URL.Path) + len(" HTTP/1.1\r\n")
	host := len("Host: \r\n") + len(r.Host)
	return line + host + contentLengthLineSize(r.Header, body) + headerSize(r.Header) + len("\r\n") + body
}

// responseSize returns the length of a response on the connection in bytes: its
// status line, headers and body.
func responseSize(status int, h http.Header, body int) int {
	line := len("HTTP/1.1 200 \r\n") + len(http.StatusText(status))
	return line + contentLengthLineSize(h, body) + headerSize(h) + len("\r\n") + body
}

// contentLengthLineSize returns the length in bytes of the Content-Length line, or
// zero if the headers already contain it.
func contentLengthLineSize(h http.Header, body int) int {
	if h.Get("Content-Length") != "" {
		return 0
	}
	return len("Content-Length: \r\n") + len(strconv.Itoa(body))
}

// serviceOf returns the service that a twirp path belongs to.
func serviceOf(path string) (service, bool) {
	for prefix, s := range pathPrefixes {
		if strings.HasPrefix(path, prefix) {
			return s, true
		}
	}
	return "", false
}
