package relay

import (
	"context"
	"testing"
	"testing/synctest"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
)

// A refused retry must be explained: one bounded line has what the decision was based on.
func TestUsedUpRetriesAreLoggedWithTheirInputs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{RetryRatio: 0.2, RetryExtra: 10})
		log, lines := logtest.NewNullLogger()
		f.relay.Log = log
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: NotRunFull} }
		for range 50 {
			f.serve(request("/once/x"))
		}
		found := 0
		for _, line := range lines.AllEntries() {
			if line.Message == "retries of the service are used up" {
				found++
				for _, field := range []string{"kind", "share", "used", "left", "gateways", "informed", "whole", "used_by_others", "used_by_ended", "up_ms"} {
					require.Contains(t, line.Data, field)
				}
			}
		}
		require.Equal(t, 1, found)
	})
}

// Attempts that did not reach a server must not use up retries, nor those whose retry another attempt needs.
func TestUnsentRetriesAreGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{RetryRatio: 0.2, RetryExtra: 10})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		attempts := 0
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) {
			if attempts++; attempts%2 == 1 {
				return nil, &NotRunError{Reason: NotRunFull}
			}
			return nil, &NotRunError{Reason: NotRunDown}
		}
		f.serve(request("/once/x"))
		status := f.relay.RetryStatuses()[deskService]
		require.LessOrEqual(t, status.Retries, attempts/2)
		require.Equal(t, 1, status.Requests)
	})
}
