package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	tick = 10 * time.Millisecond
	// hop is how long a record is on its way to a peer; links is how many peers a gateway
	// tells.
	hop, links = 2 * tick, 32
	// untilEnd is how long after it was sent a harmful request ends its server.
	untilEnd = 500 * time.Millisecond
	// downFor is how long the place of a server that ended is empty.
	downFor = 3 * time.Second
	// tries is how many servers a request without an answer is sent to, its caller's own
	// repeats included.
	tries = 4
)

// fleet plays gateways and servers. Requests that run when their server ends are sent
// again; harmful ones end their server.
type fleet struct {
	rng      *rand.Rand
	now      time.Duration
	gateways []*gate
	servers  []*host
	lives    uint64
	// ends are the ends so far; replayed, if not nil, are those that happen instead.
	ends     []fall
	replayed []fall
	// byChance has servers end at random, in this mean time each.
	byChance time.Duration

	sent, served, refused int
}

type gate struct {
	book  *Tracker
	peers []int
	inbox []letter
}

type letter struct {
	at      time.Duration
	records []Record
}

// host is a server's place: life is 0 while it is empty.
type host struct {
	life  uint64
	back  time.Duration
	works []*work
}

type work struct {
	id      ID
	gateway int
	left    time.Duration
	tries   int
	harmful bool
}

// fall is the end of a server.
type fall struct {
	at    time.Duration
	place int
}

func newFleet(seed uint64, gateways, servers int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7))}
	for self := range gateways {
		others := slices.DeleteFunc(f.rng.Perm(gateways), func(i int) bool { return i == self })
		f.gateways = append(f.gateways, &gate{book: NewTracker(Default()), peers: others[:min(links, len(others))]})
	}
	for range servers {
		f.lives++
		f.servers = append(f.servers, &host{life: f.lives})
	}
	return f
}

// tell passes news on to the peers.
func (f *fleet) tell(g *gate, news []Record) {
	if len(news) == 0 {
		return
	}
	for _, p := range g.peers {
		f.gateways[p].inbox = append(f.gateways[p].inbox, letter{f.now + hop, news})
	}
}

// up lists the servers that run.
func (f *fleet) up() (out []*host) {
	for _, h := range f.servers {
		if h.life > 0 {
			out = append(out, h)
		}
	}
	return out
}

// place sends a request to a server; it is refused if it is held.
func (f *fleet) place(w *work) {
	g := f.gateways[w.gateway]
	if _, held := g.book.Quarantined(w.id, f.now); held {
		if len(f.up()) == 0 {
			return
		}
		c, tried := g.book.StartTrial(w.id, f.now)
		if w.tries > 0 || !tried {
			if !w.harmful {
				f.refused++
			}
			return
		}
		f.tell(g, c.Changed)
	}
	up := f.up()
	if w.tries == tries || len(up) == 0 {
		return
	}
	w.tries++
	h := up[f.rng.IntN(len(up))]
	h.works = append(h.works, w)
}

// fell ends a server and sends again what ran there.
func (f *fleet) fell(place int) {
	h := f.servers[place]
	if h.life == 0 {
		return
	}
	f.ends = append(f.ends, fall{f.now, place})
	ran := make(map[int][]ID)
	works := h.works
	for _, w := range works {
		ran[w.gateway] = append(ran[w.gateway], w.id)
	}
	for gateway, ids := range ran {
		g := f.gateways[gateway]
		f.tell(g, g.book.Crashed(h.life, f.now, ids).Changed)
	}
	h.life, h.works, h.back = 0, nil, f.now+downFor
	for _, w := range works {
		if !w.harmful {
			f.place(w)
		}
	}
}

// step plays a tick.
func (f *fleet) step() {
	f.now += tick
	for _, g := range f.gateways {
		for len(g.inbox) > 0 && g.inbox[0].at <= f.now {
			f.tell(g, g.book.Merge(g.inbox[0].records).Changed)
			g.inbox = g.inbox[1:]
		}
	}
	for place, h := range f.servers {
		if h.life == 0 && f.now >= h.back {
			f.lives++
			h.life = f.lives
		}
		f.run(place)
	}
	for len(f.replayed) > 0 && f.replayed[0].at <= f.now {
		f.fell(f.replayed[0].place)
		f.replayed = f.replayed[1:]
	}
}

func (f *fleet) run(place int) {
	h := f.servers[place]
	fells := f.byChance > 0 && f.rng.Float64() < float64(tick)/float64(f.byChance)
	kept := h.works[:0]
	for _, w := range h.works {
		w.left -= tick
		switch {
		case w.left > 0:
			kept = append(kept, w)
		case w.harmful:
			fells = true
			kept = append(kept, w)
		default:
			f.served++
			g := f.gateways[w.gateway]
			f.tell(g, g.book.Clear(w.id, f.now).Changed)
		}
	}
	h.works = kept
	if fells {
		f.fell(place)
	}
}

// innocents sends so many harmless requests; each runs for up to twice a mean time.
func (f *fleet) innocents(n int, mean time.Duration) {
	for range n {
		f.sent++
		f.place(&work{
			id: ID{Team: fmt.Sprint("team-", f.sent%10), Content: uint64(f.sent)}, gateway: f.rng.IntN(len(f.gateways)),
			left: time.Duration(f.rng.Float64() * 2 * float64(mean)),
		})
	}
}

func (f *fleet) harm(id ID) {
	f.place(&work{id: id, gateway: f.rng.IntN(len(f.gateways)), left: untilEnd, harmful: true})
}

const (
	meanRun = 2 * time.Second
	// beside is how many harmless requests run on each server on average.
	beside = 20
	played = 40 * time.Second
)

// play sends three different harmful requests, each twice a second, beside harmless ones.
func (f *fleet) play(harmful bool) {
	perTick := float64(beside*len(f.servers)) * float64(tick) / float64(meanRun)
	due := 0.0
	for i := 0; f.now < played; i++ {
		for due += perTick; due >= 1; due-- {
			f.innocents(1, meanRun)
		}
		if every := int(500 * time.Millisecond / tick); harmful && i%every < 3 {
			f.harm(request(fmt.Sprint("harmful-", i%every)))
		}
		f.step()
	}
}

// Three different requests end the servers that run them, each comes twice a second at any
// gateway, and twenty harmless requests run beside them on each server. Each harmful one is
// held once three servers have ended under it, plus what is under way; the harmless ones
// are served as often as if the same servers had ended by chance.
func TestHarmfulRequestsAreToldFromThoseBesideThem(t *testing.T) {
	for _, gateways := range []int{6, 24, 103} {
		t.Run(fmt.Sprint(gateways), func(t *testing.T) {
			var served, without, sent, refused, ends int
			for seed := range uint64(5) {
				f := newFleet(seed, gateways, 2*gateways)
				f.play(true)
				chance := newFleet(seed, gateways, 2*gateways)
				chance.replayed = f.ends
				chance.play(false)
				require.LessOrEqual(t, len(f.ends), 3*(3+3), "ends under three requests")
				served, without, sent = served+f.served, without+chance.served, sent+f.sent
				refused, ends = refused+f.refused, ends+len(f.ends)
			}
			t.Logf("%d gateways: %d ends in 5 plays, harmless: sent %d, served %d, refused %d, served with the same ends by chance %d", gateways, ends, sent, served, refused, without)
			require.GreaterOrEqual(t, float64(served), 0.97*float64(without))
		})
	}
}

// Servers end by chance, each every four minutes, forty times as often as machines of a day
// with trouble; 100,000 requests run, and those that meet an end are sent again. None of
// them is held.
func TestChanceEndsHoldNobody(t *testing.T) {
	f := newFleet(1, 24, 48)
	f.byChance = 4 * time.Minute
	due := 0.0
	for f.sent < 100000 {
		for due += float64(beside*48) * float64(tick) / float64(meanRun); due >= 1; due-- {
			f.innocents(1, meanRun)
		}
		f.step()
	}
	t.Logf("%d ends, %d served", len(f.ends), f.served)
	require.NotEmpty(t, f.ends)
	require.Zero(t, f.refused)
}

const (
	// popularRun is how long an answer to the popular request takes, popularEvery the mean
	// time between two callers, harmfulEvery that of a harmful request.
	popularRun, popularEvery = 900 * time.Millisecond, 25 * time.Millisecond
	harmfulEvery             = 150 * time.Millisecond
	// mostHeld is how long a harmless request may be held while a server is there.
	mostHeld = 8 * time.Second
)

// chance reports whether something happens in this tick that does so in a mean time.
func (f *fleet) chance(every time.Duration) bool {
	return f.rng.Float64() < float64(tick)/float64(every)
}

// playPopular has many make one harmless request among few servers, two harmful ones beside
// it, and returns the longest time with a server and without an answer.
func (f *fleet) playPopular() (longest time.Duration) {
	var without time.Duration
	for f.now < played {
		if f.chance(popularEvery) {
			f.place(&work{id: request("popular"), gateway: f.rng.IntN(len(f.gateways)), left: popularRun})
		}
		for i, from := range []time.Duration{2 * time.Second, 3 * time.Second} {
			if f.now > from && f.chance(harmfulEvery) {
				f.place(&work{id: request(fmt.Sprint("harmful-", i)), gateway: f.rng.IntN(len(f.gateways)), left: 6 * tick, harmful: true})
			}
		}
		served := f.served
		f.step()
		if f.served > served {
			without = 0
		} else if len(f.up()) > 0 {
			without += tick
		}
		longest = max(longest, without)
	}
	return longest
}

// Guards against a harmless request that is held for an hour because its trials run beside
// those of the harmful ones that it is held with.
func TestPopularRequestIsServedSoonBesideHarmfulOnes(t *testing.T) {
	for seed := range uint64(100) {
		f := newFleet(seed, 3, 3)
		require.LessOrEqual(t, f.playPopular(), mostHeld, "seed %d", seed)
		require.LessOrEqual(t, len(f.ends), 2*(3+2)+2, "seed %d: ends under two requests and their trials", seed)
	}
}
