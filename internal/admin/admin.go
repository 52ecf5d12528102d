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
	"kingcupplank.example/kingcup/internal/guard"
)

// Source provides the data that a daemon serves at its admin address.
type Source struct {
	Registry *prometheus.Registry
	Ready    func() bool
	Report   func() []burn.Line
	// Quarantine is nil for daemons that quarantine no requests.
	Quarantine Quarantine
	// Retries is nil for daemons without retry budgets.
	Retries Retries
	// Link is nil for daemons that do not measure their link.
	Link Link
}

// Link describes the load on the VM's link.
type Link interface {
	Status() LinkStatus
}

// LinkStatus is the load on a VM's link and what the daemon does about it.
type LinkStatus struct {
	// Level is what the daemon takes on: normal, busy or saturated.
	Level string `json:"level"`
	// Sent and Received are the use of the directions as parts of the bandwidth, Expected is what running streams
	// are expected to need.
	Sent     float64 `json:"sent"`
	Received float64 `json:"received"`
	Expected float64 `json:"expected"`
	// DelayMs is the estimated time for which written bytes wait, TimerDelayMs by how much timers are late.
	DelayMs      int64 `json:"delay_ms"`
	TimerDelayMs int64 `json:"timer_delay_ms"`
	// Streams is the number of streams in progress, RefusedSeconds for how long new connections have been refused
	// since the start.
	Streams        int     `json:"streams"`
	RefusedSeconds float64 `json:"refused_seconds"`
}

// Retries lists the retry budgets.
type Retries interface {
	Budgets() []RetryBudget
}

// RetryBudget is the retry budget of a service at one gateway. Numbers are those of the sliding window.
type RetryBudget struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	Retries  int    `json:"retries"`
	// Share is the part of the extra retries that the gateway may use, Used what it uses of it, Left
	// the number of retries that are left.
	Share float64 `json:"share"`
	Used  float64 `json:"used"`
	Left  float64 `json:"left"`
}

// Quarantine lists the quarantined requests, which have crashed servers, and releases them.
type Quarantine interface {
	// Held returns the requests that are now quarantined.
	Held() []QuarantinedRequest
	// Lift releases the request whose Content is content. It returns false if there is no
	// record of that request.
	Lift(content string) bool
}

// QuarantinedRequest is a request that is not sent to servers because it has crashed some.
type QuarantinedRequest struct {
	// Content identifies the request, as in the log field content.
	Content string `json:"content"`
	Team    string `json:"team"`
	// Crashes names the incarnations of servers that crashed under the request, in the
	// form in which the log names them.
	Crashes []string `json:"ends"`
	// RemainingSeconds is how long the request stays quarantined.
	RemainingSeconds int `json:"left_seconds"`
}

// Server is the HTTP server of an admin address. It is safe for concurrent use.
type Server struct {
	http *fasthttp.Server
}

// New returns a server for the data of src.
func New(src Source) *Server {
	r := router.New()
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(src.Registry, promhttp.HandlerOpts{})))
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) { serveReadiness(ctx, src.Ready()) })
	r.GET("/report/burn", func(ctx *fasthttp.RequestCtx) { serveBurnReport(ctx, src.Report()) })
	if q := src.Quarantine; q != nil {
		r.GET("/quarantine", func(ctx *fasthttp.RequestCtx) { serveQuarantine(ctx, q.Held()) })
		r.DELETE("/quarantine/{content}", func(ctx *fasthttp.RequestCtx) { liftQuarantine(ctx, q) })
	}
	if src.Retries != nil {
		r.GET("/retries", func(ctx *fasthttp.RequestCtx) { serveRetries(ctx, src.Retries.Budgets()) })
	}
	if src.Link != nil {
		r.GET("/link", func(ctx *fasthttp.RequestCtx) { serveLink(ctx, src.Link.Status()) })
	}
	return &Server{http: &fasthttp.Server{
		Handler: r.Handler, Name: "kingcup",
		// A scraper keeps its connection open. Without these settings, the
		// process would wait for it forever when it stops.
		IdleTimeout: idleTimeout, CloseOnShutdown: true,
	}}
}

const (
	idleTimeout     = 5 * time.Second
	shutdownTimeout = 2 * time.Second
)

// Serve accepts connections on l until Close.
func (s *Server) Serve(l net.Listener) error { return guard.ServeOperators(s.http, l) }

// Close stops the server. It waits up to shutdownTimeout for requests in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	return s.http.ShutdownWithContext(ctx)
}

func serveReadiness(ctx *fasthttp.RequestCtx, ready bool) {
	if !ready {
		ctx.Error("not ready\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func serveBurnReport(ctx *fasthttp.RequestCtx, lines []burn.Line) {
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

func serveQuarantine(ctx *fasthttp.RequestCtx, list []QuarantinedRequest) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		ctx.SetContentType("application/json")
		json.NewEncoder(ctx).Encode(list)
		return
	}
	w := tabwriter.NewWriter(ctx, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CONTENT\tTEAM\tLEFT\tENDS")
	for _, r := range list {
		fmt.Fprintf(w, "%s\t%s\t%ds\t%s\n", r.Content, r.Team, r.RemainingSeconds, strings.Join(r.Crashes, ", "))
	}
	w.Flush()
}

func serveRetries(ctx *fasthttp.RequestCtx, list []RetryBudget) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		ctx.SetContentType("application/json")
		json.NewEncoder(ctx).Encode(list)
		return
	}
	w := tabwriter.NewWriter(ctx, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "SERVICE\tREQUESTS\tRETRIES\tSHARE\tUSED\tLEFT")
	for _, b := range list {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\n", b.Service, b.Requests, b.Retries, b.Share, b.Used, b.Left)
	}
	w.Flush()
}

func serveLink(ctx *fasthttp.RequestCtx, s LinkStatus) {
	if string(ctx.QueryArgs().Peek("format")) == "json" {
		ctx.SetContentType("application/json")
		json.NewEncoder(ctx).Encode(s)
		return
	}
	w := tabwriter.NewWriter(ctx, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "LEVEL\tSENT\tRECEIVED\tEXPECTED\tDELAY\tTIMERS LATE\tSTREAMS\tREFUSED")
	fmt.Fprintf(w, "%s\t%.0f%%\t%.0f%%\t%.0f%%\t%dms\t%dms\t%d\t%.1fs\n", s.Level, 100*s.Sent, 100*s.Received, 100*s.Expected, s.DelayMs, s.TimerDelayMs, s.Streams, s.RefusedSeconds)
	w.Flush()
}

func liftQuarantine(ctx *fasthttp.RequestCtx, q Quarantine) {
	content, _ := ctx.UserValue("content").(string)
	if !q.Lift(content) {
		ctx.Error("no such request is held\n", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBodyString("lifted\n")
}
