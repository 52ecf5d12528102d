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

// Claims is what claims of one entry cost the table.
type Claims struct {
	// PerSecond is the rate of claims offered.
	PerSecond float64
	// Commits and Reads are per claim, from the claim to its outcome.
	Commits, Reads float64
}

// slowTable answers after the time that a table in another failure domain takes.
type slowTable struct {
	storage.Table
	delay time.Duration
}

// Commit implements storage.Table.
func (s slowTable) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	time.Sleep(s.delay)
	return s.Table.Commit(ctx, txn)
}

// MeasureClaims claims and finishes keys at several rates with one window.
func MeasureClaims(window time.Duration) []Claims {
	const span = 2 * time.Second
	var out []Claims
	for _, rate := range []int{2, 50, 400, 2000} {
		table := tables.New()
		claims := claim.New(slowTable{table, time.Millisecond}, window)
		var wg sync.WaitGroup
		n := int(float64(rate) * span.Seconds())
		tick := time.NewTicker(time.Second / time.Duration(rate))
		for i := range n {
			<-tick.C
			wg.Go(func() {
				key := claim.Key{Team: team, RequestID: fmt.Sprint(i)}
				held, _, err := claims.Claim(context.Background(), key, claim.Record{Nonce: fmt.Sprint(i)})
				if err == nil {
					claims.Finish(context.Background(), held, []byte("done"))
				}
			})
		}
		wg.Wait()
		tick.Stop()
		claims.Close()
		c := table.Counts()
		out = append(out, Claims{float64(rate), float64(c.Commits) / float64(n), float64(c.Reads) / float64(n)})
	}
	return out
}
