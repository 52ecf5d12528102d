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

// The demonstration must show a whole answer: the engine that it kills takes the
// generation with it unless its memory was moved.
func TestShowGateway(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	log := logrus.New()
	log.SetOutput(io.Discard)
	var out strings.Builder
	require.NoError(t, ShowGateway(ctx, &out, 2, log))
	require.Contains(t, out.String(), "40 events, whole")
}
