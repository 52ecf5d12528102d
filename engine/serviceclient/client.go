// Package serviceclient implements engine.Service over HTTP.
package serviceclient

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/internal/framed"
)

// Request headers that identify a call to the plain service.
const (
	HeaderTeam      = "X-Kingcup-Team"
	HeaderRequestID = "X-Kingcup-Request-Id"
)

const (
	defaultTimeout   = 30 * time.Second
	maxResponseBytes = 4 << 20
)

func dial(address string) (net.Conn, error) {
	conn, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return framed.Conn(conn), nil
}

// Client calls one plain service by POST. The service's responses need a length or chunks. It is safe for
// concurrent use.
type Client struct {
	url  string
	http *fasthttp.Client
}

// New returns a client for the service at address (host:port).
func New(address string) *Client {
	return &Client{
		url: "http://" + address + "/call",
		http: &fasthttp.Client{
			Dial:                dial,
			MaxResponseBodySize: maxResponseBytes,
			// By default fasthttp retries a request whose connection closed
			// before the response, even a POST. The service may have run it, so
			// a retry could run a non-idempotent call twice.
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdemponentCallAttempts: 1,
		},
	}
}

// Call implements engine.Service.
func (c *Client) Call(ctx context.Context, team, requestID string, body []byte) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.SetRequestURI(c.url)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(HeaderTeam, team)
	req.Header.Set(HeaderRequestID, requestID)
	req.SetBody(body)

	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultTimeout)
	}
	if err := c.http.DoDeadline(req, resp, deadline); err != nil {
		return nil, callError(err)
	}
	// No status proves that the call did not run: a handler that crashes after
	// running it also answers 503, for example.
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(engine.ErrLost, "status %d", resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// callError returns ErrRejected only if the connection was not established, so
// that no byte can have reached the service. Otherwise it returns ErrLost.
func callError(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Wrap(engine.ErrRejected, err.Error())
	}
	return errors.Wrap(engine.ErrLost, err.Error())
}
