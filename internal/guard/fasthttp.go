package guard

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kingcupplank.example/kingcup/intake"
)

// Limits of addresses that serve the platform and operators: checks, metrics and reports.
const (
	operatorConnections = 64
	operatorBodyBytes   = 4 << 10
	operatorTimeout     = 5 * time.Second
	// operatorPatience is short, as a check is sent and answered at once.
	operatorPatience = 100 * time.Millisecond
)

// ServeOperators serves checks, metrics or reports on l until l is closed. Where too many connections are open, those
// without a request yield, so that checks are answered beside them.
func ServeOperators(srv *fasthttp.Server, l net.Listener) error {
	gate := New(intake.Limits{Connections: operatorConnections, Patience: operatorPatience})
	srv.MaxRequestBodySize, srv.ReadTimeout, srv.WriteTimeout = operatorBodyBytes, operatorTimeout, operatorTimeout
	srv.ConnState = func(c net.Conn, state fasthttp.ConnState) {
		if conn, ok := c.(*Conn); ok && state == fasthttp.StateIdle {
			conn.EndRequest()
		}
	}
	return srv.Serve(gate.Listener(l))
}
