// Package objectclient implements storage.Objects over HTTP.
package objectclient

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/internal/framed"
	"kingcupplank.example/kingcup/storage"
)

const (
	dialTimeout = 2 * time.Second
	// stallTimeout bounds the time without progress of a read or a write. There is no timeout
	// for the whole response, because it would limit the size of an object: on a slow link
	// every attempt would time out and start again.
	stallTimeout = 2 * time.Second
	// maxObjectSize bounds the size of an object that is read, in bytes.
	maxObjectSize = 64 << 20
)

// stallConn is a connection whose reads and writes time out after stallTimeout without progress, and
// at the deadlines of the request that uses the connection. It must be used by one goroutine at a
// time.
type stallConn struct {
	net.Conn
	// readDeadline and writeDeadline are the request's deadlines, zero for none.
	readDeadline, writeDeadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *stallConn) SetReadDeadline(t time.Time) error {
	c.readDeadline = t
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *stallConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline = t
	return nil
}

// nextDeadline returns when a read or write that starts now times out. deadline is that of the
// request, zero for none.
func nextDeadline(deadline time.Time) time.Time {
	if stalledAt := time.Now().Add(stallTimeout); deadline.IsZero() || stalledAt.Before(deadline) {
		return stalledAt
	}
	return deadline
}

// Read implements net.Conn.
func (c *stallConn) Read(p []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(nextDeadline(c.readDeadline)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

// Write implements net.Conn.
func (c *stallConn) Write(p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		if err = c.Conn.SetWriteDeadline(nextDeadline(c.writeDeadline)); err != nil {
			return n, err
		}
		m, err = c.Conn.Write(p[n:min(len(p), n+writeChunk)])
		n += m
	}
	return n, err
}

// writeChunk is how many bytes are written before the deadline is extended. They take 0.1 s at
// 10 Mbit/s.
const writeChunk = 128 << 10

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.DialTimeout(address, dialTimeout)
	if err != nil {
		return nil, err
	}
	// A part of an object may be valid.
	return &stallConn{Conn: framed.Conn(conn)}, nil
}

// Client is a client of one object store. It is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client for the store at address (host:port).
func New(address string) *Client {
	return &Client{base: "http://" + address + "/objects/", http: &fasthttp.Client{Dial: dial, MaxResponseBodySize: maxObjectSize, RetryIfErr: retryUnlessTimeout}}
}

// retryUnlessTimeout retries a request whose connection failed, for example because the store had
// closed it, but not a request that timed out.
func retryUnlessTimeout(_ *fasthttp.Request, _ int, err error) (resetTimeout, retry bool) {
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
