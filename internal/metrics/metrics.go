// Package metrics records events of entry and agent. It exports them as Prometheus metrics and
// as burn rates of service level objectives.
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

// Objectives for teams that configure none.
const (
	defaultFirstTokenObjective    = 1900 * time.Millisecond
	defaultBetweenTokensObjective = 33 * time.Millisecond
	// stallThreshold is the gap between two tokens above which a stream counts as
	// stalled.
	stallThreshold = 200 * time.Millisecond
)

// Recorder implements the Observer interfaces of packages entry and agent. It is safe for
// concurrent use.
type Recorder struct {
	replica   *conf.Replica
	registry  *prometheus.Registry
	startTime time.Time

	firstToken    *prometheus.HistogramVec
	betweenTokens *prometheus.HistogramVec
	stallSeconds  *prometheus.CounterVec
	outcomes      *prometheus.CounterVec
	preemptions   *prometheus.CounterVec

	mu          sync.Mutex
	burnTracker *burn.Tracker
}

// New returns a recorder that reads the teams' objectives from replica.
func New(replica *conf.Replica) *Recorder {
	r := &Recorder{
		replica:     replica,
		registry:    prometheus.NewRegistry(),
		startTime:   time.Now(),
		burnTracker: burn.NewTracker(),
		firstToken: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_first_token_seconds", Help: "Time from request to first token.",
			Buckets: []float64{.05, .1, .25, .5, 1, 1.9, 4, 10},
		}, []string{"team"}),
		betweenTokens: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_between_tokens_seconds", Help: "Time between two tokens of a stream.",
			Buckets: []float64{.005, .01, .02, .033, .05, .1, .2, .5, 2},
		}, []string{"team"}),
		stallSeconds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_stall_seconds_total", Help: "Time that streams waited beyond 200 ms between tokens.",
		}, []string{"team"}),
		outcomes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_requests_total", Help: "Finished requests by outcome and reason.",
		}, []string{"team", "outcome", "reason"}),
		preemptions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_preemptions_total", Help: "Streams paused for lack of memory.",
		}, []string{"team"}),
	}
	r.registry.MustRegister(r.firstToken, r.betweenTokens, r.stallSeconds, r.outcomes, r.preemptions)
	r.ExportGauge("kingcup_config_version", "Version of the configuration in force.", func() float64 { return float64(replica.Version()) })
	return r
}

// Registry returns the registry with all metrics of the recorder.
func (r *Recorder) Registry() *prometheus.Registry { return r.registry }

// ExportGauge registers a gauge whose value is read at each scrape.
func (r *Recorder) ExportGauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// ExportScheduler registers gauges for the statistics of an agent's scheduler.
func (r *Recorder) ExportScheduler(stats func() sched.Stats) {
	r.ExportGauge("kingcup_running", "Streams that hold memory at the engine.", func() float64 { return float64(stats().Running) })
	r.ExportGauge("kingcup_queued", "Requests and paused streams that wait.", func() float64 { return float64(stats().Queued) })
	r.ExportGauge("kingcup_memory_used_tokens", "Memory in use at the engine.", func() float64 { return float64(stats().MemoryUsed) })
	r.ExportGauge("kingcup_memory_forecast_tokens", "Forecast peak of memory in use.", func() float64 { return float64(stats().MemoryForecast) })
}

// objective returns the objectives of a team: the bounds for the first token and between
// tokens, and the target share of good events.
func (r *Recorder) objective(team string) (first, between time.Duration, target float64) {
	first, between, target = defaultFirstTokenObjective, defaultBetweenTokensObjective, burn.DefaultTarget
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

func (r *Recorder) countEvent(team string, o burn.Objective, good bool, target float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.burnTracker.SetTarget(team, target)
	r.burnTracker.Count(time.Since(r.startTime), team, o, good)
}

// FirstToken records the time from a request to its first token.
func (r *Recorder) FirstToken(team string, d time.Duration) {
	r.firstToken.WithLabelValues(team).Observe(d.Seconds())
	bound, _, target := r.objective(team)
	r.countEvent(team, burn.FirstToken, d <= bound, target)
}

// BetweenTokens records the time between a token and the one before it, as seen by an entry.
func (r *Recorder) BetweenTokens(team string, gap time.Duration) {
	r.betweenTokens.WithLabelValues(team).Observe(gap.Seconds())
	_, bound, target := r.objective(team)
	r.countEvent(team, burn.BetweenTokens, gap <= bound, target)
	r.countEvent(team, burn.StallTime, gap <= stallThreshold, target)
	if gap > stallThreshold {
		r.stallSeconds.WithLabelValues(team).Add((gap - stallThreshold).Seconds())
	}
}

// Token records the time between a token and the one before it, as seen by an agent. It counts
// no events of objectives.
func (r *Recorder) Token(team string, gap time.Duration) {
	r.betweenTokens.WithLabelValues(team).Observe(gap.Seconds())
	if gap > stallThreshold {
		r.stallSeconds.WithLabelValues(team).Add((gap - stallThreshold).Seconds())
	}
}

// Preempted records that the scheduler has paused a stream.
func (r *Recorder) Preempted(team string) {
	r.preemptions.WithLabelValues(team).Inc()
}

// Finished records the outcome of a request.
func (r *Recorder) Finished(team string, outcome kingcupv1.Outcome, reason kingcupv1.Reason) {
	// Unknown team names come from callers. As label values they would let the number of
	// time series grow without bound.
	if r.replica.State().Team(team) == nil {
		team = "unknown"
	}
	r.outcomes.WithLabelValues(team, outcome.String(), reason.String()).Inc()
	_, _, target := r.objective(team)
	// A canceled request counts as good: its caller no longer wants the answer.
	lost := outcome == kingcupv1.Outcome_OUTCOME_UNKNOWN && reason != kingcupv1.Reason_REASON_CANCELLED
	r.countEvent(team, burn.LostAnswers, !lost, target)
}

// Report returns the burn rates of all teams.
func (r *Recorder) Report() []burn.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.burnTracker.Report(time.Since(r.startTime))
}
