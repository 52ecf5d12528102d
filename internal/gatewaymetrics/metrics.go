// Package gatewaymetrics exports what a gateway does, as Prometheus metrics and
// as burn of service levels.
package gatewaymetrics

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcupplank.example/kingcup/burn"
	"kingcupplank.example/kingcup/internal/relay"
	"kingcupplank.example/kingcup/routing"
)

// stallAfter is the pause between two events from which a stream counts as
// stalled.
const stallAfter = 180 * time.Millisecond

// firstByteTarget is the wait for a first byte that counts as good in the burn
// report.
const firstByteTarget = 1900 * time.Millisecond

// Recorder implements relay.Observer. It is safe for concurrent use.
type Recorder struct {
	registry *prometheus.Registry
	finished *prometheus.CounterVec
	first    *prometheus.HistogramVec
	pause    prometheus.Histogram
	attempts *prometheus.CounterVec
	moves    *prometheus.CounterVec
	// ended counts the servers that ended under requests.
	ended *prometheus.CounterVec
	// unreadable counts the entries of servers that name none to use.
	unreadable prometheus.Counter
	// store counts the calls to the store and storeBytes what came in, also of answers
	// that were cut; transfer is how long answers took.
	store, storeBytes *prometheus.CounterVec
	transfer          *prometheus.HistogramVec
	// reasons counts the calls to the store by why they were made.
	reasons *prometheus.CounterVec
	// restored counts the times that the store has come back from a copy, by table.
	restored *prometheus.CounterVec
	// control counts the bytes between gateways by cause.
	control *prometheus.CounterVec
	epoch   time.Time

	mu      sync.Mutex
	tracker *burn.Tracker
}

var _ relay.Observer = (*Recorder)(nil)

// New returns a recorder.
func New() *Recorder {
	r := &Recorder{
		registry: prometheus.NewRegistry(), epoch: time.Now(), tracker: burn.NewTracker(),
		finished: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_requests_total", Help: "Finished requests by service, kind and outcome.",
		}, []string{"service", "kind", "outcome"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "kingcup_gateway_first_byte_seconds", Help: "Time from request to the first byte of the answer.",
			Buckets: []float64{.01, .03, .1, .15, .3, .6, 1, 1.5, 1.9, 4},
		}, []string{"service", "kind"}),
		pause: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "kingcup_gateway_event_pause_seconds", Help: "Time between two events of a stream.",
			Buckets: []float64{.02, .033, .05, .1, .18, .5, 2},
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_failed_attempts_total", Help: "Attempts at backend servers that gave no answer, by result.",
		}, []string{"service", "result"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_moves_total", Help: "Moves of runs between engines, by result.",
		}, []string{"result"}),
		ended: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_servers_ended_total", Help: "Backend servers that ended while requests of this gateway ran there.",
		}, []string{"service"}),
		unreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "kingcup_gateway_unreadable_entries_total", Help: "Entries of servers that could not be read.",
		}),
	}
	r.store = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_calls_total", Help: "Calls to the store by table and result: a status, \"no answer\" or \"answer cut\".",
	}, []string{"table", "result"})
	r.storeBytes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_read_bytes_total", Help: "Bytes of the store's answers by table and result of the call.",
	}, []string{"table", "result"})
	r.transfer = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "kingcup_gateway_store_transfer_seconds", Help: "Time from an answer's first byte to its last.",
		Buckets: []float64{.001, .01, .1, .3, .6, 1, 3, 10},
	}, []string{"table"})
	r.reasons = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_call_reasons_total", Help: "Calls of the followers to the store by table and reason.",
	}, []string{"table", "reason"})
	r.control = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_peer_sent_bytes_total", Help: "Bytes sent to other gateways by cause, without the frames of the links.",
	}, []string{"cause"})
	r.restored = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "kingcup_gateway_store_restored_total", Help: "Times that the store has come back from a copy, by table.",
	}, []string{"table"})
	r.registry.MustRegister(r.reasons, r.control, r.restored)
	r.registry.MustRegister(r.finished, r.first, r.pause, r.attempts, r.moves, r.ended, r.unreadable, r.store, r.storeBytes, r.transfer)
	return r
}

// Registry is what an admin server exports.
func (r *Recorder) Registry() *prometheus.Registry { return r.registry }

// RegisterGauge exports a value that is read when it is scraped.
func (r *Recorder) RegisterGauge(name, help string, value func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Finished implements relay.Observer.
func (r *Recorder) Finished(team, service string, kind routing.Kind, outcome string) {
	r.finished.WithLabelValues(service, kind.String(), outcome).Inc()
	if team != "" && outcome != relay.OutcomeCallerGone {
		r.count(team, burn.LostAnswers, outcome == relay.OutcomeAnswered)
	}
}

// FirstByte implements relay.Observer.
func (r *Recorder) FirstByte(team, service string, kind routing.Kind, d time.Duration) {
	r.first.WithLabelValues(service, kind.String()).Observe(d.Seconds())
	r.count(team, burn.FirstToken, d <= firstByteTarget)
}

// ServerCrashed implements relay.Observer.
func (r *Recorder) ServerCrashed(service string) { r.ended.WithLabelValues(service).Inc() }

// EventPause implements relay.Observer.
func (r *Recorder) EventPause(team string, d time.Duration) {
	r.pause.Observe(d.Seconds())
	r.count(team, burn.StallTime, d <= stallAfter)
}

// AttemptFailed implements relay.Observer.
func (r *Recorder) AttemptFailed(service, result string) {
	r.attempts.WithLabelValues(service, result).Inc()
}

// UnreadableEntry counts an entry of a server that names none to use.
func (r *Recorder) UnreadableEntry() { r.unreadable.Inc() }

// StoreCall implements store.Observer.
func (r *Recorder) StoreCall(table, result string, bytes int64, transfer time.Duration) {
	r.store.WithLabelValues(table, result).Inc()
	r.storeBytes.WithLabelValues(table, result).Add(float64(bytes))
	r.transfer.WithLabelValues(table).Observe(transfer.Seconds())
}

// StoreReason counts a call of a follower to the store by why it was made.
func (r *Recorder) StoreReason(table, reason string) {
	r.reasons.WithLabelValues(table, reason).Inc()
}

// StoreRestored counts a table that has come back from a copy.
func (r *Recorder) StoreRestored(table string) { r.restored.WithLabelValues(table).Inc() }

// PeerSent counts bytes sent to another gateway.
func (r *Recorder) PeerSent(cause string, bytes int) {
	r.control.WithLabelValues(cause).Add(float64(bytes))
}

// Migrated implements relay.Observer.
func (r *Recorder) Migrated(result string) { r.moves.WithLabelValues(result).Inc() }

func (r *Recorder) count(team string, o burn.Objective, good bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.Count(time.Since(r.epoch), team, o, good)
}

// Report is the burn of all teams.
func (r *Recorder) Report() []burn.Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Report(time.Since(r.epoch))
}
