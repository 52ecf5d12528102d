package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
	"kingcupplank.example/kingcup/internal/wait"
)

// load is what a seed draws beside its faults. The zero value is the usual load.
type load struct {
	// unequalEngines says that engines differ in pace, have dips, and pause streams for prompts.
	unequalEngines bool
	// shortGenerations says that streams on fleet.CheckPath are short, have a stricter latency
	// target than long ones, and share little engine memory with them.
	shortGenerations bool
	// smallService says that the plain service has fewer slots than there are gateways and is
	// asked for more than it can answer now and then.
	smallService bool
	// lostZones is the number of failure domains whose loss the settings file names.
	lostZones int
	// severalVersions says that model servers run several versions of their software.
	severalVersions bool
}

const (
	// minLoadFaultKinds is the number of kinds of faults from which on loads are drawn. Seeds of
	// earlier failures have the usual load.
	minLoadFaultKinds = 27
	// minVersionFaultKinds is the number from which on they may have several software versions, and
	// callers resume streams.
	minVersionFaultKinds = 28
	// minPartFaultKinds is the number from which on prompts have parts.
	minPartFaultKinds = 29

	// usualStep is the event interval of an engine of mean pace. With it, a slow engine exceeds
	// maxPause while it reads a prompt in a dip, and a fast one does not.
	usualStep                   = 40 * time.Millisecond
	usualPromptTime             = 60 * time.Millisecond
	fastPace, slowPace          = 0.55, 1.2
	fastEvery                   = 4
	dipFactor                   = 2.5
	dipDuration, dipInterval    = 600 * time.Millisecond, 4 * time.Second
	maxPause                    = 200 * time.Millisecond
	shortEvents                 = 4
	longTarget                  = 3500 * time.Millisecond
	extraCallers                = 8
	deskSlots, deskAnswerTime   = 1, 30 * time.Millisecond
	surgeCallers                = 12
	surgeDuration, surgeSpacing = time.Second, 1500 * time.Millisecond
)

// Memory of an engine in tokens. A run is placed with 100 to 500 tokens.
const (
	// unequalMemory is so little that long runs are moved off the fast engine, which reads most
	// prompts.
	unequalMemory = 2500
	// littleMemory is so little that generations are queued and refused. sharedMemory leaves room
	// for moves beside short generations.
	littleMemory, sharedMemory = 900, 1500
)

// drawLoad draws the load of a seed.
func drawLoad(seed uint64, faultKinds int) load {
	if faultKinds < minLoadFaultKinds {
		return load{}
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	half := func() bool { return rng.IntN(2) == 0 }
	l := load{unequalEngines: half(), shortGenerations: half(), smallService: half(), lostZones: rng.IntN(2)}
	l.severalVersions = faultKinds >= minVersionFaultKinds && half()
	return l
}

func (l load) String() string {
	return fmt.Sprintf("unequal engines: %v, short generations: %v, small service: %v, lost zones: %d, several versions: %v", l.unequalEngines, l.shortGenerations, l.smallService, l.lostZones, l.severalVersions)
}

// config returns what the configuration says about the load.
func (l load) config() (c fleet.Load) {
	if l.unequalEngines {
		c.MaxPauseMs, c.EngineMemory = int(maxPause.Milliseconds()), unequalMemory
	}
	if l.shortGenerations {
		c.PlanTargetMs, c.EngineMemory = int(longTarget.Milliseconds()), littleMemory
	}
	if l.unequalEngines && l.shortGenerations {
		c.EngineMemory = sharedMemory
	}
	return c
}

// engine returns the behavior of the i-th model engine.
func (l load) engine(i int) fleet.Behavior {
	b := fleet.Behavior{Events: streamEvents, EventInterval: eventInterval, CopyTime: copyTime, CrashOn: crashingBody, CrashOnPart: crashingPart, CrashDelay: crashDelay}
	if l.unequalEngines {
		pace := slowPace
		if i%fastEvery == 0 {
			pace = fastPace
		}
		b.EventInterval, b.PromptTime = time.Duration(pace*float64(usualStep)), time.Duration(pace*float64(usualPromptTime))
		b.Dips = fleet.Dips{Interval: dipInterval, Duration: dipDuration, Offset: time.Duration(i%fastEvery+1) * dipInterval / (fastEvery + 1), Factor: dipFactor}
	}
	if l.shortGenerations {
		b.ShortEvents = shortEvents
	}
	return b
}

// desk returns the behavior of a server of the plain service.
func (l load) desk() fleet.Behavior {
	if l.smallService {
		return fleet.Behavior{Slots: deskSlots, Delay: deskAnswerTime}
	}
	return fleet.Behavior{}
}

// events returns the number of events of a complete stream on a path.
func (l load) events(path string) int {
	if l.shortGenerations && path == fleet.CheckPath {
		return shortEvents
	}
	return streamEvents
}

func (l load) callers() int {
	if l.shortGenerations || l.unequalEngines {
		return callerCount + extraCallers
	}
	return callerCount
}

// extraGateways is the number of gateways that make up for the slots of the plain service.
func (l load) extraGateways() int {
	if l.smallService {
		return 1
	}
	return 0
}

// surges asks the plain service for more than it can answer, now and then until ctx ends.
func (s *Soak) surges(ctx context.Context, wg *sync.WaitGroup) {
	for wait.For(ctx, surgeSpacing) {
		surge, cancel := context.WithTimeout(ctx, surgeDuration)
		for i := range surgeCallers {
			g, path := s.gateways[i%len(s.gateways)], servedPaths[i/len(s.gateways)%2]
			wg.Go(func() {
				for wait.For(surge, 10*time.Millisecond) {
					s.attempt(g, path)
				}
			})
		}
		wait.For(surge, surgeDuration)
		cancel()
	}
}
