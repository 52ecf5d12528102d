package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// WaitAndDrain blocks until SIGTERM or SIGINT and then calls shutdown with a context that
// ends after timeout. shutdown returns the number of requests still in progress. Further
// signals are ignored: platforms repeat SIGTERM, and a repeat must not abort requests in
// progress.
func WaitAndDrain(log logrus.FieldLogger, timeout time.Duration, shutdown func(context.Context) int) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	sig := <-ch
	log.WithField("signal", sig.String()).Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if remaining := shutdown(ctx); remaining > 0 {
		log.WithField("in_progress", remaining).Warn("drain timeout expired with requests in progress")
	}
	log.Info("stopped")
}
