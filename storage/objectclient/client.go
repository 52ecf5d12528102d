// Package objectclient implements storage.Objects over HTTP.
package objectclient

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/storage"
)

const timeout = 5 * time.Second

// Client talks to one object store. It is safe for concurrent use.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client for the store at address (host:port).
func New(address string) *Client {
	return &Client{base: "http://" + address + "/objects/", http: &fasthttp.Client{}}
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
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(timeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
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
