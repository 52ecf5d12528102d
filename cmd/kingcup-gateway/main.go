// Command kingcup-gateway serves callers on an entry VM of the users' platform.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"kingcupplank.example/kingcup/internal/gateway"
	"kingcupplank.example/kingcup/internal/logging"
	"kingcupplank.example/kingcup/internal/settings"
	platformsettings "kingcupplank.example/kingcup/platform/settings"
)

func main() {
	s := settings.New("kingcup-gateway", "takes callers' requests to the users' backend servers and their answers back")
	defaults := gateway.DefaultOptions()
	logLevel := s.Choice("log-level", "info", []string{"debug", "info", "warning", "error"}, "least severe messages to log")
	metricsPort := s.Int("metrics-port", defaults.MetricsPort, 0, 65535, "port for metrics and reports, 0 for none")
	s.Group("Platform")
	feedTimeout := s.Duration("feed-wait", defaults.FeedTimeout, 100*time.Millisecond, 30*time.Second, "how long a call to the store waits for changes")
	directoryInterval := s.Duration("directory-gap", defaults.MinDirectoryInterval, 0, 10*time.Second, "least time between two calls for the directory of servers")
	maxLinks := s.Int("peer-links", defaults.MaxPeerLinks, 1, 1000, "most gateways that this one tells of itself, several times a second")
	shutdownDelay := s.Duration("leave", defaults.ShutdownDelay, 0, time.Minute, "how long after SIGTERM connections are still taken")
	s.MustParse()

	// The process serves before Start returns.
	sig := notify()
	path := os.Getenv(platformsettings.PathVariable)
	platform, err := platformsettings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-gateway:", err)
		os.Exit(settings.ExitUsage)
	}
	level, err := logrus.ParseLevel(*logLevel)
	if err != nil {
		level = logrus.InfoLevel
	}
	out := logging.NewWriter(os.Stdout)
	log := logging.New(out, level).WithField("vm", platform.VM)
	opts := gateway.Options{FeedTimeout: *feedTimeout, MinDirectoryInterval: *directoryInterval, MaxPeerLinks: *maxLinks, ShutdownDelay: *shutdownDelay, MetricsPort: *metricsPort, LostLogLines: out.Lost}
	g, err := gateway.Start(opts, platform, log)
	if err != nil {
		out.Close()
		fmt.Fprintln(os.Stderr, "kingcup-gateway:", err)
		os.Exit(1)
	}
	log.WithFields(logrus.Fields{"callers": platform.Callers, "store": platform.Store, "version": settings.Version, "failure_domain": platform.FailureDomain}).Info("started")
	run(g, sig, path, log)
	out.Close()
}

// signals are the signals that have arrived. There is a channel for each effect, as a signal is dropped if its
// channel is full: while the settings are read, reloads must not displace the signal to stop.
type signals struct{ stop, reload chan os.Signal }

// notify begins to receive signals.
func notify() signals {
	s := signals{make(chan os.Signal, 1), make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	return s
}

// settingsPollInterval is how often the settings file is checked for a change: it may
// change without a signal.
const settingsPollInterval = 5 * time.Second

// run handles signals until SIGTERM or SIGINT, and then stops the gateway. It reloads the
// settings on SIGHUP and when the settings file has changed.
func run(g *gateway.Gateway, sig signals, path string, log logrus.FieldLogger) {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	lastModified := modifiedAt(path)
	for {
		select {
		case <-sig.stop:
			g.Stop()
			return
		case <-sig.reload:
		case <-poll.C:
			if now := modifiedAt(path); now == lastModified {
				continue
			}
		}
		lastModified = modifiedAt(path)
		platform, err := platformsettings.Load(path)
		if err != nil {
			log.WithError(err).Error("cannot reload the settings, keeping the old ones")
			continue
		}
		g.Reload(platform)
	}
}

// modifiedAt returns the modification time of a file, or the zero time if the file cannot
// be read.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
