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
	def := gateway.DefaultOptions()
	level := s.Choice("log-level", "info", []string{"debug", "info", "warning", "error"}, "least severe messages to log")
	metrics := s.Int("metrics-port", def.MetricsPort, 0, 65535, "port for metrics and reports, 0 for none")
	s.Group("Platform")
	wait := s.Duration("feed-wait", def.FeedTimeout, 100*time.Millisecond, 30*time.Second, "how long a call to the store waits for changes")
	gap := s.Duration("directory-gap", def.MinDirectoryInterval, 0, 10*time.Second, "least time between two calls for the directory of servers")
	links := s.Int("peer-links", def.MaxPeerLinks, 1, 1000, "most gateways that this one tells of itself, several times a second")
	leave := s.Duration("leave", def.ShutdownDelay, 0, time.Minute, "how long after SIGTERM connections are still taken")
	s.MustParse()

	path := os.Getenv(platformsettings.PathVariable)
	set, err := platformsettings.Load(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-gateway:", err)
		os.Exit(settings.ExitUsage)
	}
	parsed, err := logrus.ParseLevel(*level)
	if err != nil {
		parsed = logrus.InfoLevel
	}
	out := logging.NewWriter(os.Stdout)
	log := logging.New(out, parsed).WithField("vm", set.VM)
	opts := gateway.Options{FeedTimeout: *wait, MinDirectoryInterval: *gap, MaxPeerLinks: *links, ShutdownDelay: *leave, MetricsPort: *metrics, DroppedLogLines: out.Dropped}
	g, err := gateway.Start(opts, set, log)
	if err != nil {
		out.Close()
		fmt.Fprintln(os.Stderr, "kingcup-gateway:", err)
		os.Exit(1)
	}
	log.WithFields(logrus.Fields{"callers": set.Callers, "store": set.Store, "version": settings.Version, "failure_domain": set.FailureDomain}).Info("started")
	run(g, path, log)
	out.Close()
}

// lookEvery is how often the settings file is compared: it may change without a
// signal.
const lookEvery = 5 * time.Second

// run lasts until SIGTERM. SIGHUP says that the settings file has changed.
func run(g *gateway.Gateway, path string, log logrus.FieldLogger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	last := modified(path)
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				g.Stop()
				return
			}
		case <-look.C:
			if now := modified(path); now == last {
				continue
			}
		}
		last = modified(path)
		set, err := platformsettings.Load(path)
		if err != nil {
			log.WithError(err).Error("settings are not reloaded, the old ones stay")
			continue
		}
		g.Reload(set)
	}
}

// modified is when a file changed; the zero time for one that is not there.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
