package retry

import (
	"testing"
	"time"
)

// BenchmarkFirstAttempt is what a request costs that is not retried.
func BenchmarkFirstAttempt(b *testing.B) {
	b.ReportAllocs()
	var budget Budget
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		budget.RecordFirst(modelSettings, now)
	}
}

// BenchmarkRetry is what a decision on a retry costs while the share is known.
func BenchmarkRetry(b *testing.B) {
	b.ReportAllocs()
	budget := Budget{}
	budget.UpdateShare(modelSettings, View{Gateways: 4, Informed: true}, 0)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		budget.TryTake(modelSettings, Repeat, now)
	}
}
