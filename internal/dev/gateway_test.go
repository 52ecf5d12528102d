package dev

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// The demonstration must receive a complete response. It stops the engine of the generation, so
// the rest of the events is lost unless the generation is migrated with its memory.
func TestGatewayDemo(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var out strings.Builder
	require.NoError(t, RunGatewayDemo(ctx, &out, 2, log))
	require.Contains(t, out.String(), "40 events, whole")
}
