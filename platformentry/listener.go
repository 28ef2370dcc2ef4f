package platformentry

import (
	"context"
	"net/url"
	"sync"

	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// kratosServer is a listener that the Kratos framework starts and stops.
type kratosServer = transport.Server

// listener is a server of the framework that listens on the daemon's network.
type listener struct {
	*khttp.Server
	listen func() error
}

// listener returns a server that listens at an address once it is asked for its endpoint or started.
func (d *Daemon) listener(address string, server *khttp.Server) *listener {
	return &listener{Server: server, listen: sync.OnceValue(func() error {
		opened, err := d.network.Listen(address)
		if err == nil {
			khttp.Listener(opened)(server)
		}
		return err
	})}
}

// Endpoint implements transport.Endpointer.
func (l *listener) Endpoint() (*url.URL, error) {
	if err := l.listen(); err != nil {
		return nil, err
	}
	return l.Server.Endpoint()
}

// Start implements transport.Server.
func (l *listener) Start(ctx context.Context) error {
	if err := l.listen(); err != nil {
		return err
	}
	return l.Server.Start(ctx)
}
