package gateway

import (
	"kingcupplank.example/kingcup/internal/gatewaymetrics"
	"kingcupplank.example/kingcup/prefill"
)

// registerRoleGauges registers the gauges on the roles of engines, see package prefill.
func (g *Gateway) registerRoleGauges(rec *gatewaymetrics.Recorder) {
	count := func(role prefill.Role) func() float64 {
		return func() float64 { return float64(g.registry.CountByRole(role)) }
	}
	rec.RegisterGauge("kingcup_gateway_engines_tolerant", "Engines that read prompts beside long streams.", count(prefill.RoleTolerant))
	rec.RegisterGauge("kingcup_gateway_engines_prefill", "Engines that read prompts and whose long streams are moved.", count(prefill.RolePrefill))
	rec.RegisterGauge("kingcup_gateway_engines_stream", "Engines that run long streams and get no prompts while others have room.", count(prefill.RoleStream))
	rec.RegisterGauge("kingcup_gateway_dips_seen", "Dips of engines that the streams of this gateway have shown since its start.", func() float64 { return float64(g.registry.CountDips()) })
}
