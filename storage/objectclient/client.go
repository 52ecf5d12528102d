// Package objectclient implements storage.Objects over HTTP.
package objectclient

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/storage"
)

const (
	dialTimeout = 2 * time.Second
	// stallTimeout is how long nothing may come in or be taken. There is no bound on a whole
	// answer: it would be one on its size, and each try over a thin link be given up and
	// begun anew.
	stallTimeout = 2 * time.Second
	// maxObject bounds an object in bytes.
	maxObject = 64 << 20
)

// patientConn is a connection whose reads and writes end when nothing passes, and at the
// deadlines of the request that has it. It is for one goroutine.
type patientConn struct {
	net.Conn
	// readBy and writeBy are the request's deadlines, zero for none.
	readBy, writeBy time.Time
}

// SetReadDeadline implements net.Conn.
func (c *patientConn) SetReadDeadline(t time.Time) error {
	c.readBy = t
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *patientConn) SetWriteDeadline(t time.Time) error {
	c.writeBy = t
	return nil
}

// stallsAt is when a read or write that begins now ends, at the latest by a deadline.
func stallsAt(by time.Time) time.Time {
	if at := time.Now().Add(stallTimeout); by.IsZero() || at.Before(by) {
		return at
	}
	return by
}

// Read implements net.Conn.
func (c *patientConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(stallsAt(c.readBy)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *patientConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		if err = c.Conn.SetWriteDeadline(stallsAt(c.writeBy)); err != nil {
			return n, err
		}
		m, err = c.Conn.Write(p[n:min(len(p), n+writeSize)])
		n += m
	}
	return n, err
}

// writeSize is how much is written between two looks at the time: 0.1 s at 10 Mbit/s.
const writeSize = 128 << 10

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &patientConn{Conn: conn}, nil
}

// Client talks to one object store. It is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client for the store at address (host:port).
func New(address string) *Client {
	return &Client{base: "http://" + address + "/objects/", http: &fasthttp.Client{Dial: dial, MaxResponseBodySize: maxObject, RetryIfErr: retryBroken}}
}

// retryBroken has a request made again whose connection the store had closed, not one that the
// store left without bytes.
func retryBroken(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
	var ne net.Error
	return false, !(errors.As(err, &ne) && ne.Timeout())
}

// Put implements storage.Objects.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	_, err := c.do(ctx, fasthttp.MethodPut, key, value)
	return err
}

// Get implements storage.Objects.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	return c.do(ctx, fasthttp.MethodGet, key, nil)
}

func (c *Client) do(ctx context.Context, method, key string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + key)
	req.Header.SetMethod(method)
	req.SetBody(body)
	if err := c.send(ctx, req, resp); err != nil {
		return nil, errors.Wrap(storage.ErrUnavailable, err.Error())
	}
	switch resp.StatusCode() {
	case fasthttp.StatusOK:
		return append([]byte(nil), resp.Body()...), nil
	case fasthttp.StatusNotFound:
		return nil, errors.Wrap(storage.ErrNotFound, key)
	}
	return nil, errors.Wrapf(storage.ErrUnavailable, "status %d", resp.StatusCode())
}

func (c *Client) send(ctx context.Context, req *fasthttp.Request, resp *fasthttp.Response) error {
	if deadline, ok := ctx.Deadline(); ok {
		return c.http.DoDeadline(req, resp, deadline)
	}
	return c.http.Do(req, resp)
}
