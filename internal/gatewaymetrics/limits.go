package gatewaymetrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"kingcupplank.example/kingcup/concurrency"
	"kingcupplank.example/kingcup/internal/relay"
)

// limitMetrics are the metrics of the shared limits of plain services.
type limitMetrics struct {
	demand, totalDemand, capacity, share *prometheus.GaugeVec
	decisions                            *prometheus.CounterVec
}

var _ relay.LimitObserver = (*Recorder)(nil)

func newLimitMetrics(registry *prometheus.Registry) limitMetrics {
	gauge := func(name, help string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, []string{"service"})
	}
	m := limitMetrics{
		demand:      gauge("kingcup_gateway_demand_per_second", "Requests for a plain service that arrive here, per second."),
		totalDemand: gauge("kingcup_gateway_total_demand_per_second", "Estimated requests for a plain service at all gateways, per second."),
		capacity:    gauge("kingcup_gateway_capacity_per_second", "Requests that the servers of a plain service can answer, per second; 0 if unknown."),
		share:       gauge("kingcup_gateway_share_per_second", "This gateway's share of the capacity while the shared limit binds, 0 otherwise."),
		decisions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "kingcup_gateway_shared_limit_decisions_total", Help: "Requests by the shared limit's decision while it binds.",
		}, []string{"service", "result"}),
	}
	registry.MustRegister(m.demand, m.totalDemand, m.capacity, m.share, m.decisions)
	return m
}

// LimitUpdated implements relay.LimitObserver.
func (r *Recorder) LimitUpdated(service string, s concurrency.Status) {
	r.limits.demand.WithLabelValues(service).Set(s.Demand)
	r.limits.totalDemand.WithLabelValues(service).Set(s.Total)
	r.limits.capacity.WithLabelValues(service).Set(s.Capacity)
	r.limits.share.WithLabelValues(service).Set(s.Share)
}

// LimitDecided implements relay.LimitObserver.
func (r *Recorder) LimitDecided(service, result string) {
	r.limits.decisions.WithLabelValues(service, result).Inc()
}
