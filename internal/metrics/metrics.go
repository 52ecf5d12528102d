// Package metrics exports what entry and agent observe, as Prometheus metrics
// and as burn of service levels.
package metrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupplank.example/kingcup/burn"
	"kingcupplank.example/kingcup/conf"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/sched"
)

// Objectives where a team has none of its own.
const (
	defaultFirstToken    = 1900 * time.Millisecond
	defaultBetweenTokens = 33 * time.Millisecond
	// stallAfter is the gap between two tokens from which a stream counts as
	// stalled.
	stallAfter = 200 * time.Millisecond
)

// Recorder implements the observers of entry and agent. It is safe for
// concurrent use.
type Recorder struct {
	replica  *conf.Replica
	registry *prometheus.Registry
	epoch    time.Time

	first       *prometheus.HistogramVec
	between     *prometheus.HistogramVec
	stalled     *prometheus.CounterVec
	outcomes    *prometheus.CounterVec
	preemptions *prometheus.CounterVec

	mu      sync.Mutex
	tracker *burn.Tracker
}

// New returns a recorder that reads objectives from replica.
func New(replica *conf.Replica) *Recorder {
	r := &Recorder{
		replica:  replica,
		registry: prometheus.NewRegistry(),
		epoch:    time.Now(),
		tracker:  burn.NewTracker(),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_first_token_seconds", Help: "Time from request to first token.",
			Buckets: []float64{.05, .1, .25, .5, 1, 1.9, 4, 10},
		}, []string{"team"}),
		between: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_between_tokens_seconds", Help: "Time between two tokens of a stream.",
			Buckets: []float64{.005, .01, .02, .033, .05, .1, .2, .5, 2},
		}, []string{"team"}),
		stalled: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_stall_seconds_total", Help: "Time that streams waited beyond 200 ms between tokens.",
		}, []string{"team"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_requests_total", Help: "Finished requests by outcome and reason.",
		}, []string{"team", "outcome", "reason"}),
		preemptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_preemptions_total", Help: "Streams paused for lack of memory.",
		}, []string{"team"}),
	}
	r.registry.MustRegister(r.first, r.between, r.stalled, r.outcomes, r.preemptions)
	r.ExportGauge("kingcup_config_version", "Version of the configuration in force.", func() float64 { return float64(replica.Version()) })
	return r
}

// Registry is what an admin server exports.
func (r *Recorder) Registry() *prometheus.Registry { return r.registry }

// ExportGauge exports a value that is read when it is scraped.
func (r *Recorder) ExportGauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// ExportScheduler exports an agent's scheduler.
func (r *Recorder) ExportScheduler(stats func() sched.Stats) {
	r.ExportGauge("kingcup_running", "Streams that hold memory at the engine.", func() float64 { return float64(stats().Running) })
	r.ExportGauge("kingcup_queued", "Requests and paused streams that wait.", func() float64 { return float64(stats().Queued) })
	r.ExportGauge("kingcup_memory_used_tokens", "Memory in use at the engine.", func() float64 { return float64(stats().MemoryUsed) })
	r.ExportGauge("kingcup_memory_forecast_tokens", "Forecast peak of memory in use.", func() float64 { return float64(stats().MemoryForecast) })
}

func (r *Recorder) objective(team string) (first, between time.Duration, target float64) {
	first, between, target = defaultFirstToken, defaultBetweenTokens, burn.DefaultTarget
	o := r.replica.State().Team(team).GetObjective()
	if ms := o.GetFirstTokenMs(); ms > 0 {
		first = time.Duration(ms) * time.Millisecond
	}
	if ms := o.GetBetweenTokensMs(); ms > 0 {
		between = time.Duration(ms) * time.Millisecond
	}
	if ppm := o.GetTargetPpm(); ppm > 0 {
		target = float64(ppm) / 1e6
	}
	return first, between, target
}

func (r *Recorder) count(team string, o burn.Objective, good bool, target float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.SetTarget(team, target)
	r.tracker.Count(time.Since(r.epoch), team, o, good)
}

// FirstToken records the wait for a first token.
func (r *Recorder) FirstToken(team string, d time.Duration) {
	r.first.WithLabelValues(team).Observe(d.Seconds())
	bound, _, target := r.objective(team)
	r.count(team, burn.FirstToken, d <= bound, target)
}

// BetweenTokens records the gap before a token.
func (r *Recorder) BetweenTokens(team string, d time.Duration) {
	r.between.WithLabelValues(team).Observe(d.Seconds())
	_, bound, target := r.objective(team)
	r.count(team, burn.BetweenTokens, d <= bound, target)
	r.count(team, burn.StallTime, d <= stallAfter, target)
	if d > stallAfter {
		r.stalled.WithLabelValues(team).Add((d - stallAfter).Seconds())
	}
}

// Token records the gap before a token as the agent sees it.
func (r *Recorder) Token(team string, gap time.Duration) {
	r.between.WithLabelValues(team).Observe(gap.Seconds())
	if gap > stallAfter {
		r.stalled.WithLabelValues(team).Add((gap - stallAfter).Seconds())
	}
}

// Preempted records a paused stream.
func (r *Recorder) Preempted(team string) {
	r.preemptions.WithLabelValues(team).Inc()
}

// Finished records the outcome of a request.
func (r *Recorder) Finished(team string, outcome kingcupv1.Outcome, reason kingcupv1.Reason) {
	// Names that are not teams come from outside and would grow the table of
	// labels without bound.
	if r.replica.State().Team(team) == nil {
		team = "unknown"
	}
	r.outcomes.WithLabelValues(team, outcome.String(), reason.String()).Inc()
	_, _, target := r.objective(team)
	// A caller that went away by itself has lost nothing.
	lost := outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN && reason != kingcupv1.Reason_REASON_CANCELLED
	r.count(team, burn.LostAnswers, !lost, target)
}

// Report is the burn of all teams.
func (r *Recorder) Report() []burn.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(time.Since(r.epoch))
}
