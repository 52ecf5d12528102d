package app

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// WaitAndDrain blocks until SIGTERM or SIGINT and then calls shutdown with a
// context that lasts for the drain timeout. A second SIGTERM changes nothing:
// platforms repeat it, and a repeat must not cut off what is in progress.
func WaitAndDrain(log logrus.FieldLogger, timeout time.Duration, shutdown func(context.Context) int) {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	sig := <-ch
	log.WithField("signal", sig.String()).Info("draining")
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if left := shutdown(ctx); left > 0 {
		log.WithField("in_progress", left).Warn("drain timeout passed")
	}
	log.Info("stopped")
}
