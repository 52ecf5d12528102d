// Package admin serves a daemon's metrics, health, readiness and burn report
// over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
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
	// Quarantine is nil for daemons that hold no requests.
	Quarantine Quarantine
}

// Quarantine shows and lifts verdicts on requests under which servers end.
type Quarantine interface {
	Held() []QuarantinedRequest
	// Lift ends the verdict on a request; false if there is none by that name.
	Lift(content string) bool
}

// QuarantinedRequest is a request that is not sent to servers.
type QuarantinedRequest struct {
	Content string `json:"content"`
	Team    string `json:"team"`
	// Crashes names the lives of the servers that ended under it, as the log does.
	Crashes []string `json:"ends"`
	// RemainingSeconds is how long it is held yet.
	RemainingSeconds int `json:"left_seconds"`
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
	if q := src.Quarantine; q != nil {
		r.GET("/quarantine", func(ctx *fasthttp.RequestCtx) { held(ctx, q.Held()) })
		r.DELETE("/quarantine/{content}", func(ctx *fasthttp.RequestCtx) { lift(ctx, q) })
	}
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

func held(ctx *fasthttp.RequestCtx, list []QuarantinedRequest) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		ctx.SetContentType("application/json")
		json.NewEncoder(ctx).Encode(list)
		return
	}
	w := tabwriter.NewWriter(ctx, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTENT\tTEAM\tLEFT\tENDS")
	for _, h := range list {
		fmt.Fprintf(w, "%s\t%s\t%ds\t%s\n", h.Content, h.Team, h.RemainingSeconds, strings.Join(h.Crashes, ", "))
	}
	w.Flush()
}

func lift(ctx *fasthttp.RequestCtx, q Quarantine) {
	content, _ := ctx.UserValue("content").(string)
	if !q.Lift(content) {
		ctx.Error("no such request is held\n", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString("lifted\n")
}
