package slopes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"kingcupplank.example/kingcup/claim"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/storage"
)

// ClaimCost is the load that claims of one entry cause at the table.
type ClaimCost struct {
	// PerSecond is the rate of claims.
	PerSecond float64
	// Commits and Reads are the table operations for one claim and its outcome.
	Commits, Reads float64
}

// delayedTable delays commits by the latency of a table in another failure domain.
type delayedTable struct {
	storage.Table
	delay time.Duration
}

// Commit implements storage.Table.
func (s delayedTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	time.Sleep(s.delay)
	return s.Table.Commit(ctx, txn)
}

// MeasureClaims measures the cost of claims at several rates. window is how long an entry collects
// claims for one transaction.
func MeasureClaims(window time.Duration) []ClaimCost {
	const span = 2 * time.Second
	var out []ClaimCost
	for _, rate := range []int{2, 50, 400, 2000} {
		table := tables.New()
		claims := claim.New(delayedTable{table, time.Millisecond}, window)
		var wg sync.WaitGroup
		n := int(float64(rate) * span.Seconds())
		tick := time.NewTicker(time.Second / time.Duration(rate))
		for i := range n {
			<-tick.C
			wg.Go(func() {
				key := claim.Key{Team: team, RequestID: fmt.Sprint(i)}
				claimed, _, err := claims.Claim(context.Background(), key, claim.Record{Nonce: fmt.Sprint(i)})
				if err == nil {
					claims.Finish(context.Background(), claimed, []byte("done"))
				}
			})
		}
		wg.Wait()
		tick.Stop()
		claims.Close()
		c := table.Counts()
		out = append(out, ClaimCost{float64(rate), float64(c.Commits) / float64(n), float64(c.Reads) / float64(n)})
	}
	return out
}
