// Package gatewaymetrics records a gateway's requests, attempts and store calls as
// Prometheus metrics, and computes error budget burn rates by team.
package gatewaymetrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupplank.example/kingcup/burn"
	"kingcupplank.example/kingcup/internal/logging"
	"kingcupplank.example/kingcup/internal/netmeter"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/retry"
	"kingcupplank.example/kingcup/routing"
)

// stallThreshold is the longest pause between two events of a stream that doesn't
// count as a stall.
const stallThreshold = 180 * time.Millisecond

// firstByteTarget is the longest time to the first byte that the burn report counts
// as good.
const firstByteTarget = 1900 * time.Millisecond

// Recorder implements relay.Observer and store.Observer. It is safe for concurrent
// use.
type Recorder struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	eventPause     prometheus.Histogram
	failedAttempts *prometheus.CounterVec
	// retries counts attempts beyond the first of a request, by kind and by what the budget decided.
	retries    *prometheus.CounterVec
	migrations *prometheus.CounterVec
	// runStops is how long servers were awaited that were told to stop a run, by result.
	runStops *prometheus.HistogramVec
	// responsesCut counts responses that were cut off at their callers, by cause.
	responsesCut *prometheus.CounterVec
	// responsesDropped counts responses that were not the awaited ones, by what they named.
	responsesDropped *prometheus.CounterVec
	standbyCopies    *prometheus.CounterVec
	// queueDecisions counts how generations left the queue for an engine. queueWait is the real wait of
	// those that were started, queueEstimate the wait that was estimated on their arrival.
	queueDecisions           *prometheus.CounterVec
	queueWait, queueEstimate *prometheus.HistogramVec
	// crashes counts the servers that crashed while requests ran on them.
	crashes *prometheus.CounterVec
	// prompts counts the prompts read while engines have roles, by the role of the engine, runs the
	// long runs after their first event: moved to an engine that runs streams, or why not.
	prompts, runs *prometheus.CounterVec
	// resumptions counts the streams that were resumed at another server or by their callers.
	resumptions *prometheus.CounterVec
	// unreadableEntries counts directory entries that don't describe a usable server.
	unreadableEntries prometheus.Counter
	// storeCalls counts the calls to the store, storeBytes the bytes received for them,
	// also of truncated responses. storeTransfer is the time from a response's first byte
	// to its last.
	storeCalls, storeBytes *prometheus.CounterVec
	storeTransfer          *prometheus.HistogramVec
	// storeCallReasons counts the calls to the store by the reason for the call.
	storeCallReasons *prometheus.CounterVec
	// storeRestores counts the restores of the store from an older copy, by table.
	storeRestores *prometheus.CounterVec
	// peerBytes counts the bytes sent to other gateways, by cause.
	peerBytes *prometheus.CounterVec
	limits    limitMetrics
	// epoch is the zero of the times that the tracker gets.
	epoch time.Time

	// mu guards tracker.
	mu      sync.Mutex
	tracker *burn.Tracker
}

var _ relay.Observer = (*Recorder)(nil)

// New returns a Recorder whose metrics are registered at a registry of its own.
func New() *Recorder {
	r := &Recorder{
		registry: prometheus.NewRegistry(), epoch: time.Now(), tracker: burn.NewTracker(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_requests_total", Help: "Finished requests by service, kind and outcome.",
		}, []string{"service", "kind", "outcome"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_gateway_first_byte_seconds", Help: "Time from request to the first byte of the answer.",
			Buckets: []float64{.01, .03, .1, .15, .3, .6, 1, 1.5, 1.9, 4},
		}, []string{"service", "kind"}),
		eventPause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kingcup_gateway_event_pause_seconds", Help: "Time between two events of a stream.",
			Buckets: []float64{.02, .033, .05, .1, .18, .5, 2},
		}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_failed_attempts_total", Help: "Attempts at backend servers that gave no answer, by result.",
		}, []string{"service", "result"}),
		migrations: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_moves_total", Help: "Moves of runs between engines, by result.",
		}, []string{"result"}),
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_servers_ended_total", Help: "Backend servers that ended while requests of this gateway ran there.",
		}, []string{"service"}),
		unreadableEntries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kingcup_gateway_unreadable_entries_total", Help: "Entries of servers that could not be read.",
		}),
	}
	r.retries = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_retries_total", Help: "Attempts beyond the first of their request by service, kind (repeat, further repeat, race, continuation, hedge) and result: taken from the retry budget, refused by it, or returned as no server got it or its server continues the run.",
	}, []string{"service", "kind", "result"})
	r.resumptions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_streams_resumed_total", Help: "Streams that were resumed at another server after their first event, or by their callers, by the software version: the one that began the stream, another one, or unknown.",
	}, []string{"result"})
	r.addUpstreamMetrics()
	r.standbyCopies = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_standby_copies_total", Help: "Standby copies of runs by event: made, refreshed, refused for lack of room, failed, dropped, lost with their server, used, missing when needed.",
	}, []string{"event"})
	r.storeCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_calls_total", Help: "Calls to the store by table and result: a status, \"no answer\" or \"answer cut\".",
	}, []string{"table", "result"})
	r.storeBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_read_bytes_total", Help: "Bytes of the store's answers by table and result of the call.",
	}, []string{"table", "result"})
	r.storeTransfer = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_gateway_store_transfer_seconds", Help: "Time from an answer's first byte to its last.",
		Buckets: []float64{.001, .01, .1, .3, .6, 1, 3, 10},
	}, []string{"table"})
	r.storeCallReasons = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_call_reasons_total", Help: "Calls of the followers to the store by table and reason.",
	}, []string{"table", "reason"})
	r.peerBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_peer_sent_bytes_total", Help: "Bytes sent to other gateways by cause, without the frames of the links.",
	}, []string{"cause"})
	r.prompts = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_prompts_placed_total", Help: "Prompts that began to be answered while engines have roles, by the role of the engine.",
	}, []string{"role"})
	r.runs = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_runs_placed_total", Help: "Long runs after the first event while engines have roles: moved to an engine that runs streams, or why they stay.",
	}, []string{"result"})
	r.storeRestores = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_restored_total", Help: "Times that the store has come back from a copy, by table.",
	}, []string{"table"})
	r.queueDecisions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_queue_decisions_total", Help: "Generations that left the queue for an engine by service, kind (light or other) and decision.",
	}, []string{"service", "kind", "decision"})
	waits := []float64{.005, .02, .1, .2, .5, 1, 2, 4, 8, 16}
	r.queueWait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_gateway_queue_wait_seconds", Help: "Time from the arrival of a generation until an engine was reserved for it.", Buckets: waits,
	}, []string{"service", "kind"})
	r.queueEstimate = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_gateway_queue_estimate_seconds", Help: "The same time as it was estimated on arrival.", Buckets: waits,
	}, []string{"service", "kind"})
	r.registry.MustRegister(r.queueDecisions, r.queueWait, r.queueEstimate)
	r.limits = newLimitMetrics(r.registry)
	r.registry.MustRegister(r.retries, r.resumptions, r.prompts, r.runs, r.storeCallReasons, r.peerBytes, r.storeRestores, r.standbyCopies)
	r.registry.MustRegister(r.requests, r.firstByte, r.eventPause, r.failedAttempts, r.migrations, r.crashes, r.unreadableEntries, r.storeCalls, r.storeBytes, r.storeTransfer)
	return r
}

// addUpstreamMetrics adds the metrics on answers of servers and on runs that change servers.
func (r *Recorder) addUpstreamMetrics() {
	r.runStops = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_gateway_run_stop_seconds", Help: "Time that a server was awaited which was told to stop a run before it goes on elsewhere, by result.",
		Buckets: []float64{.002, .005, .01, .02, .05, .1, .2, .4},
	}, []string{"result"})
	r.responsesDropped = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_responses_dropped_total", Help: "Responses of backend servers that were not the awaited ones by service and what they named: another request, or no request.",
	}, []string{"service", "names"})
	r.responsesCut = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_responses_cut_total", Help: "Responses that had begun and were cut off at their callers, by cause.",
	}, []string{"cause"})
	r.registry.MustRegister(r.responsesDropped, r.runStops, r.responsesCut)
}

// Registry returns the registry of all metrics of the gateway.
func (r *Recorder) Registry() *prometheus.Registry { return r.registry }

// RegisterGauge registers a gauge whose value is computed at each scrape.
func (r *Recorder) RegisterGauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// RegisterLinkBytes registers the bytes that a meter counts, by counterpart and direction.
func (r *Recorder) RegisterLinkBytes(m *netmeter.Meter) {
	register := func(with netmeter.Counterpart, direction string, bytes func() uint64) {
		r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kingcup_gateway_link_bytes_total", Help: "Bytes on the VM's link by counterpart and direction, with the headers of TCP segments.",
			ConstLabels: prometheus.Labels{"with": string(with), "direction": direction},
		}, func() float64 { return float64(bytes()) }))
	}
	for _, with := range netmeter.Counterparts {
		register(with, "sent", func() uint64 { return m.Bytes(with).Sent })
		register(with, "received", func() uint64 { return m.Bytes(with).Received })
	}
}

// RegisterLostLogLines registers the number of log lines that were lost, by cause.
func (r *Recorder) RegisterLostLogLines(lost func(logging.LossCause) uint64) {
	for cause, name := range logging.LossCauses {
		r.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
			Name: "kingcup_gateway_log_lines_lost_total", Help: "Log lines that were not written by cause: more than the limit in a second (rate), a slow reader of the output (queue), the end of the process (close).",
			ConstLabels: prometheus.Labels{"cause": name},
		}, func() float64 { return float64(lost(logging.LossCause(cause))) }))
	}
}

// Finished implements relay.Observer.
func (r *Recorder) Finished(team, service string, kind routing.Kind, outcome string) {
	r.requests.WithLabelValues(service, kind.String(), outcome).Inc()
	if team != "" && outcome != relay.OutcomeCallerGone {
		r.countObjective(team, burn.LostAnswers, outcome == relay.OutcomeAnswered)
	}
}

// FirstByte implements relay.Observer.
func (r *Recorder) FirstByte(team, service string, kind routing.Kind, d time.Duration) {
	r.firstByte.WithLabelValues(service, kind.String()).Observe(d.Seconds())
	r.countObjective(team, burn.FirstToken, d <= firstByteTarget)
}

// ServerCrashed implements relay.Observer.
func (r *Recorder) ServerCrashed(service string) { r.crashes.WithLabelValues(service).Inc() }

// ResponseCut implements relay.Observer.
func (r *Recorder) ResponseCut(cause string) { r.responsesCut.WithLabelValues(cause).Inc() }

// RunStopped implements relay.Observer.
func (r *Recorder) RunStopped(result string, d time.Duration) {
	r.runStops.WithLabelValues(result).Observe(d.Seconds())
}

// ResponseDropped counts a response that was not the awaited one.
func (r *Recorder) ResponseDropped(service, names string) {
	r.responsesDropped.WithLabelValues(service, names).Inc()
}

// StandbyCopy implements relay.Observer.
func (r *Recorder) StandbyCopy(event relay.StandbyEvent) {
	r.standbyCopies.WithLabelValues(string(event)).Inc()
}

// StreamResumed implements relay.Observer.
func (r *Recorder) StreamResumed(result relay.Resumption) {
	r.resumptions.WithLabelValues(string(result)).Inc()
}

// PromptPlaced implements relay.Observer.
func (r *Recorder) PromptPlaced(role string) { r.prompts.WithLabelValues(role).Inc() }

// RunPlaced implements relay.Observer.
func (r *Recorder) RunPlaced(result string) { r.runs.WithLabelValues(result).Inc() }

// EventPause implements relay.Observer.
func (r *Recorder) EventPause(team string, d time.Duration) {
	r.eventPause.Observe(d.Seconds())
	r.countObjective(team, burn.StallTime, d <= stallThreshold)
}

// QueueDecided implements relay.Observer.
func (r *Recorder) QueueDecided(service string, light bool, d relay.QueueDecision, estimated, waited time.Duration) {
	kind := "other"
	if light {
		kind = "light"
	}
	r.queueDecisions.WithLabelValues(service, kind, string(d)).Inc()
	if d == relay.QueueStarted {
		r.queueWait.WithLabelValues(service, kind).Observe(waited.Seconds())
		r.queueEstimate.WithLabelValues(service, kind).Observe(estimated.Seconds())
	}
}

// AttemptFailed implements relay.Observer.
func (r *Recorder) AttemptFailed(service, result string) {
	r.failedAttempts.WithLabelValues(service, result).Inc()
}

// Retry implements relay.Observer.
func (r *Recorder) Retry(service string, kind retry.Kind, result string) {
	r.retries.WithLabelValues(service, string(kind), result).Inc()
}

// UnreadableEntry counts a directory entry that doesn't describe a usable server.
func (r *Recorder) UnreadableEntry() { r.unreadableEntries.Inc() }

// StoreCall implements store.Observer.
func (r *Recorder) StoreCall(table, result string, bytes int64, transfer time.Duration) {
	r.storeCalls.WithLabelValues(table, result).Inc()
	r.storeBytes.WithLabelValues(table, result).Add(float64(bytes))
	r.storeTransfer.WithLabelValues(table).Observe(transfer.Seconds())
}

// StoreReason counts a call of a follower to the store by the reason for the call.
func (r *Recorder) StoreReason(table, reason string) {
	r.storeCallReasons.WithLabelValues(table, reason).Inc()
}

// StoreRestored counts a restore of the store from an older copy that was detected in
// a table.
func (r *Recorder) StoreRestored(table string) { r.storeRestores.WithLabelValues(table).Inc() }

// PeerSent counts the bytes that were sent to another gateway for a cause.
func (r *Recorder) PeerSent(cause string, bytes int) {
	r.peerBytes.WithLabelValues(cause).Add(float64(bytes))
}

// Migrated implements relay.Observer.
func (r *Recorder) Migrated(result string) { r.migrations.WithLabelValues(result).Inc() }

func (r *Recorder) countObjective(team string, objective burn.Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Count(time.Since(r.epoch), team, objective, good)
}

// Report returns the burn rates of all teams.
func (r *Recorder) Report() []burn.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(time.Since(r.epoch))
}
