package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against a caller being told "not run" by a status of a server that has run the request.
func TestPromiseOfAServerIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, path := range []string{"/once/x", "/plan/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFixture(t, Config{})
					f.addServer("a", deskService)
					f.addServer("e", modelService)
					f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return newResponse(status, "busy"), nil }
					c := f.serve(request(path))
					require.NotNil(t, c.refusal, "got status %d", c.status)
					require.True(t, c.refusal.MayHaveRun)
				})
			})
		}
	}
}

// Guards against an error without a known reason counting as a proof that a request has not run.
func TestUnknownReasonIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Config{})
		f.addServer("a", deskService)
		f.addServer("b", deskService)
		f.upstream.send = func(context.Context, *Attempt) (*Response, error) { return nil, &NotRunError{Reason: "another"} }
		r := request("/once/x")
		c := f.serve(r)
		require.Len(t, f.upstream.sent, 1)
		require.True(t, c.refusal.MayHaveRun)
		require.False(t, r.Sends.Promise())
	})
}
