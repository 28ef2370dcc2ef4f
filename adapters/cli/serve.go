package cli

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// shutdownTimeout bounds how long a stand-in waits for requests in flight.
	shutdownTimeout = 10 * time.Second
	// headerTimeout bounds how long a stand-in waits for a request's headers.
	headerTimeout = 10 * time.Second
)

// checkAddress returns an error if the value of a flag is not an IP address with a
// port.
func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return usageError("%s: %q is not an address; write an IP number and a port, such as 127.0.0.1:7300", flag, address)
	}
	return nil
}

// listenAndServe serves a handler until the context is canceled, and then finishes
// the requests in flight. It prints the bound address, as port 0 selects a free port.
func listenAndServe(ctx context.Context, streams Streams, name, address string, handler http.Handler) error {
	if err := checkAddress("--listen", address); err != nil {
		return err
	}
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address)
	if err != nil {
		return eris.Wrapf(err, "cannot listen on %s; choose another address with --listen", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	printf(streams.Out, "%s listening on %s\n", name, listener.Addr())
	select {
	case err := <-served:
		return eris.Wrap(err, "the listener failed; start again")
	case <-ctx.Done():
	}
	stopping, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopping); err != nil {
		_ = server.Close()
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
