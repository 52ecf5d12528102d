// Package admin serves a daemon's metrics, health, readiness and burn report
// over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"text/tabwriter"
	"time"

	"github.com/fasthttp/router"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"kingcupplank.example/kingcup/burn"
)

// Source is what a daemon shows.
type Source struct {
	Registry *prometheus.Registry
	Ready    func() bool
	Report   func() []burn.Line
}

// Server is safe for concurrent use.
type Server struct {
	http *fasthttp.Server
}

// New returns a server for src.
func New(src Source) *Server {
	r := router.New()
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(src.Registry, promhttp.HandlerOpts{})))
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) { ready(ctx, src.Ready()) })
	r.GET("/report/burn", func(ctx *fasthttp.RequestCtx) { report(ctx, src.Report()) })
	return &Server{http: &fasthttp.Server{
		Handler: r.Handler, Name: "kingcup",
		// A scraper keeps its connection open; without these the end of the
		// process would wait for it for ever.
		IdleTimeout: idleTimeout, ReadTimeout: idleTimeout, CloseOnShutdown: true,
	}}
}

const (
	idleTimeout     = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Serve answers on l until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends the server.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

func ready(ctx *fasthttp.RequestCtx, ok bool) {
	if !ok {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func report(ctx *fasthttp.RequestCtx, lines []burn.Line) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		ctx.SetContentType("application/json")
		json.NewEncoder(ctx).Encode(lines)
		return
	}
	w := tabwriter.NewWriter(ctx, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tOBJECTIVE\tWINDOW\tEVENTS\tBAD\tBURN\tBUDGET LEFT")
	for _, l := range lines {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%.2f\t%.0f%%\n", l.Team, l.Objective, l.Window, l.Events, l.Bad, l.BurnRate, 100*l.BudgetLeft)
	}
	w.Flush()
}
