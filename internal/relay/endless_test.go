package relay

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// endlessResponse returns a response whose body brings bytes until the caller closes it.
func endlessResponse(ctx context.Context, status int, text string, pace time.Duration) *Response {
	body := newFakeBody()
	go func() {
		for ctx.Err() == nil {
			if _, err := io.WriteString(body.writer, text); err != nil {
				return
			}
			select {
			case <-time.After(pace):
			case <-ctx.Done():
			}
		}
	}()
	context.AfterFunc(ctx, func() { body.PipeReader.CloseWithError(ctx.Err()) })
	return &Response{Status: status, Length: -1, Signed: status >= 300, Body: body.PipeReader}
}

// Guards against an idempotent request waiting until its deadline for the end of bytes that are no answer.
func TestEndlessBodyFailsOver(t *testing.T) {
	for name, status := range map[string]int{"failure": 500, "unsigned success": 200} {
		for _, pace := range []time.Duration{time.Microsecond, 40 * time.Millisecond} {
			t.Run(name+" "+pace.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newRaceFixture(t, Config{}, func(ctx context.Context, n int, _ *Attempt) (*Response, error) {
						if n == 1 {
							return endlessResponse(ctx, status, "x", pace), nil
						}
						return newResponse(200, "ok"), nil
					})
					start := time.Now()
					f.serve(request("/safe/x")).requireWhole(t, "ok")
					require.LessOrEqual(t, time.Since(start), failureBodyTimeout)
				})
			})
		}
	}
}

// Guards against a stream that brings the same event, or events without an id, without end.
func TestStreamWithoutProgressEnds(t *testing.T) {
	for name, text := range map[string]string{"duplicates": event(1), "no id": "data: x\n\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Config{})
				f.addServer("a", modelService)
				f.upstream.send = func(ctx context.Context, _ *Attempt) (*Response, error) {
					r := endlessResponse(ctx, 200, event(1)+text, time.Millisecond)
					r.IsStream, r.Signed = true, true
					return r, nil
				}
				start := time.Now()
				require.True(t, f.serve(request("/plan/x")).aborted)
				require.Less(t, time.Since(start), time.Second)
			})
		})
	}
}
