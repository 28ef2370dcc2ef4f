// Package freeport finds loopback addresses for processes and listeners of tests.
package freeport

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
)

// firstPort and lastPort bound the ports that are tried. They lie below those that
// Linux gives to outgoing connections, which would take one that is free for a moment.
const (
	firstPort = 20000
	lastPort  = 32000
)

// next is the next port to try. Ports of one process are given out once.
var next atomic.Int32

// Address returns a loopback address that nothing listens on.
func Address() (string, error) {
	var last error
	for port := firstPort + int(next.Add(1)); port < lastPort; port = firstPort + int(next.Add(1)) {
		address := net.JoinHostPort(Loopback().String(), strconv.Itoa(port))
		l, err := net.Listen("tcp", address) //nolint:noctx // Loopback.
		if err == nil {
			return address, l.Close()
		}
		last = err
	}
	return "", fmt.Errorf("no free port; end other programs: %w", last)
}

// Loopback returns a loopback IP number of this process, so that processes that run
// side by side do not take each other's ports. Where the system has only one loopback
// IP number, it is that.
var Loopback = sync.OnceValue(func() net.IP {
	pid := os.Getpid()
	ip := net.IPv4(127, byte(1+pid>>16%100), byte(pid>>8), byte(1+pid%250))
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0")) //nolint:noctx // Loopback.
	if err != nil {
		return net.IPv4(127, 0, 0, 1)
	}
	_ = l.Close()
	return ip
})
