package dev

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/client"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Runs the whole system in one process, in real time on loopback. Callers send generations and
// calls to both entries while an operator changes the configuration and drains a server. Every
// generation and every idempotent call must get a complete response. Under the race detector,
// this test covers entry, agent and links, because the detector doesn't work with virtual time.
func TestWholeSystemUnderLoad(t *testing.T) {
	sys, err := Start(Options{Servers: 3, Entries: 2, TokenInterval: 2 * time.Millisecond})
	require.NoError(t, err)
	defer sys.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	require.NoError(t, sys.RunDemo(ctx, io.Discard, "tokens=5 first"))
	c := client.New(client.Options{MaxRetries: 100, MaxResumes: 100, ResumeInterval: 50 * time.Millisecond}, sys.Conns()...)
	operator := kingcupv1.NewOperatorServiceClient(sys.Conns()[0])
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			req := &kingcupv1.GenerateRequest{Team: Team, RequestId: fmt.Sprint("g", i), Model: Model, Prompt: []byte("tokens=150 plan")}
			res, err := c.Generate(ctx, req, client.Handler{})
			if err != nil || res.Tokens != 150 {
				t.Errorf("generation %d: %d tokens, %v", i, res.Tokens, err)
			}
		})
		wg.Go(func() {
			req := &kingcupv1.CallRequest{Team: Team, RequestId: fmt.Sprint("c", i%20), Service: Service, NonIdempotent: i%3 == 0}
			if _, err := c.Call(ctx, req); err != nil && i%3 != 0 {
				t.Errorf("call %d: %v", i, err)
			}
		})
	}
	for range 5 {
		row := &kingcupv1.Row{Row: &kingcupv1.Row_Priority{Priority: &kingcupv1.Priority{Name: "interactive", Level: 11}}}
		_, err := operator.Apply(ctx, &kingcupv1.ApplyRequest{Puts: []*kingcupv1.Row{row}})
		require.NoError(t, err)
	}
	_, err = operator.Drain(ctx, &kingcupv1.DrainRequest{BackendServer: "server-1"})
	require.NoError(t, err)
	wg.Wait()
}
