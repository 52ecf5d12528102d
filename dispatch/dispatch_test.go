package dispatch

import (
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a promise without a proof for each send, and against sends after a promise.
func TestPromiseNeedsAProofForEachSend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Record
		var tickets []Ticket
		var model []Outcome
		promised := false
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ticket, ok := r.Begin("s", rapid.Bool().Draw(t, "continues"))
				require.Equal(t, !promised, ok)
				if ok {
					tickets, model = append(tickets, ticket), append(model, Unknown)
				}
			case 1, 2:
				if len(tickets) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(tickets)-1).Draw(t, "send")
				o := Outcome(rapid.IntRange(0, int(Begun)).Draw(t, "outcome"))
				if promised && !o.isProof() {
					continue
				}
				tickets[i].Settle(o, "")
				if model[i] != Begun {
					model[i] = o
				}
			case 3:
				proven := true
				for _, o := range model {
					proven = proven && (o == NotSent || o == Rejected)
				}
				promised = promised || proven
				require.Equal(t, promised, r.Promise())
			}
		}
		require.Equal(t, len(model), r.Len())
	})
}

// Guards against a send that begins while the promise is given.
func TestPromiseAndSendExcludeEachOther(t *testing.T) {
	for range 1000 {
		var r Record
		var promised, begun bool
		var wg sync.WaitGroup
		wg.Go(func() { promised = r.Promise() })
		wg.Go(func() { _, begun = r.Begin("s", false) })
		wg.Wait()
		require.NotEqual(t, promised, begun)
	}
}

// Guards against a continued run that counts as a second one.
func TestContinuationIsNoRunOfItsOwn(t *testing.T) {
	var r Record
	first, _ := r.Begin("a", false)
	first.Settle(Begun, "")
	next, _ := r.Begin("b", true)
	next.Settle(Begun, "")
	require.Equal(t, 1, r.Runs())
	require.True(t, r.MayHaveRun())
	last, _ := r.Begin("c", false)
	last.Settle(Rejected, "status 503")
	require.Equal(t, "a begun, b begun (continues), c rejected (status 503)", r.String())
}
