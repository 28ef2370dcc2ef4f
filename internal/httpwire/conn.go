package httpwire

import (
	"net"
	"sync"
)

// Conn is the client's end of a connection that carries one request at a time.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// head is that of the response that is due, or nil.
	head *head
}

// NewConn returns the client's end of a connection.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// Expect says that the bytes which are read next are a response, whose heads may have so many
// bytes. It is called before each request.
func (c *Conn) Expect(maxHeadBytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = &head{left: maxHeadBytes}
}

// Read implements net.Conn. It returns nothing of a response whose head is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if checkErr := c.check(p[:n]); checkErr != nil {
		return 0, checkErr
	}
	return n, err
}

func (c *Conn) check(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == nil {
		return nil
	}
	err := c.head.check(p)
	if c.head.ended {
		c.head = nil
	}
	return err
}
