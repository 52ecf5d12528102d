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
