package memnet_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"greengagespoke/internal/memnet"
)

const dialTimeout = time.Second

// connected returns both ends of a connection.
func connected(t *testing.T) (near, far net.Conn) {
	t.Helper()
	network := memnet.New(dialTimeout)
	listener, err := network.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	near, err = network.Dial(t.Context(), listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
		_ = listener.Close()
	})
	return near, far
}

// idle is what a connection of the network says of itself.
type idle interface{ OpenAndIdle() bool }

func TestEndsOfConnections(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(t *testing.T, far net.Conn)
		want error
	}{
		"closed":                  {func(_ *testing.T, far net.Conn) { _, _ = io.ReadFull(far, make([]byte, 4)) }, io.EOF},
		"closed with unread data": {func(*testing.T, net.Conn) {}, syscall.ECONNRESET},
		"closed with linger 0": {func(t *testing.T, far net.Conn) {
			t.Helper()
			_, _ = io.ReadFull(far, make([]byte, 4))
			if err := far.(interface{ SetLinger(int) error }).SetLinger(0); err != nil {
				t.Error(err)
			}
		}, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := connected(t)
				_, _ = near.Write([]byte("ping"))
				_, _ = far.Write([]byte("pong"))
				tc.end(t, far)
				_ = far.Close()
				got := make([]byte, 8)
				if n, err := near.Read(got); string(got[:n]) != "pong" || err != nil {
					t.Errorf("got %q, %v before the end", got[:n], err)
				}
				if _, err := near.Read(got); !errors.Is(err, tc.want) {
					t.Errorf("got %v, want %v", err, tc.want)
				}
				if _, err := near.Write(got); err == nil {
					t.Error("wrote to a closed connection")
				}
				if near.(idle).OpenAndIdle() {
					t.Error("a closed connection looks open")
				}
			})
		})
	}
}

// The kernel reports a reset once, to the read or the write that asks first, and none if the peer has
// ended what it sends before.
func TestResetIsReportedOnce(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			near, far := connected(t)
			_, _ = near.Write([]byte("not read"))
			if ended {
				_ = far.(interface{ CloseWrite() error }).CloseWrite()
			}
			_ = far.Close()
			want := error(syscall.ECONNRESET)
			if ended {
				want = syscall.EPIPE
			}
			if _, err := near.Write([]byte("more")); !errors.Is(err, want) {
				t.Errorf("ended %t: the write got %v, want %v", ended, err, want)
			}
			if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
				t.Errorf("ended %t: the read got %v, want the end of the data", ended, err)
			}
		})
	}
}

func TestDeadlineEndsAWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, _ := connected(t)
		began := time.Now()
		_ = near.SetReadDeadline(began.Add(3 * time.Second))
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) || time.Since(began) != 3*time.Second {
			t.Errorf("got %v after %s", err, time.Since(began))
		}
		_ = near.SetReadDeadline(time.Time{})
		_ = near.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := near.Write(make([]byte, 8<<20)); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("wrote more than the peer takes: %v", err)
		}
	})
}

func TestListenersRefuseAndHang(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(dialTimeout)
		address := network.FreeAddress()
		if _, err := network.Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("nothing listens: %v", err)
		}
		listener, err := network.Listen(address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := network.Listen(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("two listeners: %v", err)
		}
		listener.(interface{ Hang(bool) }).Hang(true)
		began := time.Now()
		var failure net.Error
		if _, err := network.Dial(t.Context(), address); !errors.As(err, &failure) || !failure.Timeout() || time.Since(began) != dialTimeout {
			t.Errorf("got %v after %s, want a timeout", err, time.Since(began))
		}
		_ = listener.Close()
		if _, err := network.Dial(t.Context(), address); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("the listener is closed: %v", err)
		}
	})
}

func TestHTTPInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New(dialTimeout)
		listener, err := network.Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Hour)
			_, _ = io.Copy(w, r.Body)
		})}
		go func() { _ = server.Serve(listener) }()
		transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return network.Dial(ctx, address) }}
		text := strings.Repeat("x", 1<<20)
		resp, err := (&http.Client{Transport: transport}).Post("http://"+listener.Addr().String(), "", strings.NewReader(text))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || !bytes.Equal(got, []byte(text)) {
			t.Errorf("got %d bytes, %v", len(got), err)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
		time.Sleep(time.Minute) // The server delays the end of some connections.
	})
}
