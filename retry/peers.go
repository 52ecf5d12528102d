package retry

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// equalPart is the part of the shared extra retries that is shared equally; the rest is shared by
	// requests.
	equalPart = 1.0 / 8
	// maxTold bounds the processes that have ended of which others are told.
	maxTold = 64
	// minRemaining is the least remaining time of an ended process that is worth learning from a peer.
	minRemaining = 200 * time.Millisecond
	// endedMargin is how much longer than a window the uses of an ended process count, and the least
	// difference between two reports of its end that counts.
	endedMargin = time.Second
	// maxReported bounds what a peer may report.
	maxReported = 1e6
)

// Process is one process of a gateway.
type Process struct {
	Gateway string
	// ID tells the processes of a gateway apart.
	ID uint64
}

// Ended is a process that has ended, or from which nothing has been heard for too long.
type Ended struct {
	Process
	// Uses is what it had told, by service. It counts for Remaining.
	Uses      map[string]Use
	Remaining time.Duration
	// Silent says that it is not known what the process has used at its end: nothing had been heard from
	// it for a while, in which it may have used an equal share.
	Silent bool
}

// Report is what a process tells the others.
type Report struct {
	Process
	// Complete says that the process knows what has ended in the last window.
	Complete bool
	Uses     map[string]Use
	Ended    []Ended
}

// Peers is what a gateway knows of the others' retries, from their reports.
//
// A process that has started does not know what was used before. It has no share of the extra retries
// until a peer that has run for a window tells it what its gateway's earlier process had used, or until it
// has run for a window itself.
type Peers struct {
	self    Process
	started time.Duration
	live    map[string]Report
	ended   map[Process]endedUses
	// learned is set once a peer has told what this gateway's earlier process had used, or if there was
	// none.
	learned bool
	// most is the largest number of gateways since mostAt.
	most   int
	mostAt time.Duration
}

type endedUses struct {
	uses   map[string]Use
	until  time.Duration
	silent bool
}

// NewPeers returns what a process knows at its start. isFirst says that no process of any gateway has run
// before, so that nothing has been used.
func NewPeers(self Process, isFirst bool, started time.Duration) *Peers {
	return &Peers{self: self, learned: isFirst, started: started, live: make(map[string]Report), ended: make(map[Process]endedUses)}
}

// Heard records the report of a peer.
func (p *Peers) Heard(r Report, window, now time.Duration) {
	if r.Gateway == "" || r.Gateway == p.self.Gateway {
		return
	}
	if old, ok := p.live[r.Gateway]; ok && old.ID != r.ID {
		p.ended[old.Process] = endedUses{uses: old.Uses, until: now + window + endedMargin}
	}
	r.Uses = maps.Clone(r.Uses)
	for service, u := range r.Uses {
		r.Uses[service] = Use{Extra: reported(u.Extra), Requests: reported(u.Requests)}
	}
	p.live[r.Gateway] = r
	delete(p.ended, r.Process)
	for _, e := range r.Ended {
		p.learn(e, window, now)
		if r.Complete && e.Gateway == p.self.Gateway {
			p.learned = true
		}
	}
}

// reported returns a reported value that is in range.
func reported(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return max(0, min(maxReported, v))
}

// learn records a process of whose end a peer has told. Of several reports the most that was used and the
// latest end count: a peer may have lost its link with the process before its end.
func (p *Peers) learn(e Ended, window, now time.Duration) {
	if live, ok := p.live[e.Gateway]; e.Process == p.self || ok && live.ID == e.ID || e.Remaining < minRemaining {
		return
	}
	known, ok := p.ended[e.Process]
	if !ok && len(p.ended) >= maxTold {
		return
	}
	uses, until := maps.Clone(known.uses), now+min(window+endedMargin, e.Remaining)
	if ok && until < known.until+endedMargin {
		// Gateways that repeat each other must not keep it by the time that their messages take.
		until = known.until
	}
	if uses == nil {
		uses = make(map[string]Use, len(e.Uses))
	}
	for service, u := range e.Uses {
		uses[service] = Use{Extra: max(uses[service].Extra, reported(u.Extra))}
	}
	p.ended[e.Process] = endedUses{uses: uses, until: until, silent: e.Silent && (known.silent || !ok)}
}

// Silent records that nothing has been heard from a gateway for too long.
func (p *Peers) Silent(gateway string, window, now time.Duration) {
	if r, ok := p.live[gateway]; ok {
		p.ended[r.Process] = endedUses{uses: r.Uses, until: now + window + endedMargin, silent: true}
		delete(p.live, gateway)
	}
}

// expire forgets the processes whose retries have left the window.
func (p *Peers) expire(now time.Duration) {
	maps.DeleteFunc(p.ended, func(_ Process, e endedUses) bool { return now >= e.until })
}

// isComplete reports whether it is known what has ended in the last window.
func (p *Peers) isComplete(window, now time.Duration) bool {
	return p.learned || now-p.started >= window
}

// Report returns what the others are to be told, with this process's own uses.
func (p *Peers) Report(uses map[string]Use, window, now time.Duration) Report {
	p.expire(now)
	r := Report{Process: p.self, Complete: p.isComplete(window, now), Uses: uses}
	for process, e := range p.ended {
		r.Ended = append(r.Ended, Ended{Process: process, Uses: e.uses, Remaining: e.until - now, Silent: e.silent})
	}
	slices.SortFunc(r.Ended, func(a, b Ended) int {
		if c := strings.Compare(a.Gateway, b.Gateway); c != 0 {
			return c
		}
		return int(b.Remaining - a.Remaining)
	})
	r.Ended = r.Ended[:min(maxTold, len(r.Ended))]
	return r
}

// View is what is known of the other gateways' retries for a service.
type View struct {
	// Gateways is the number of all gateways, the largest one in the last window.
	Gateways int
	// Informed says that it is known what has ended in the last window.
	Informed bool
	// Whole says that all other gateways are heard. One that is silent may have ended, or be cut off and use
	// its share.
	Whole bool
	// Requests is the number of requests of the others in the window.
	Requests float64
	// Live is what the others use of the extra retries.
	Live  float64
	ended []endedUse
	// byGateway is what each other gateway uses that is heard.
	byGateway map[string]float64
}

// endedUse is what a process uses that has ended.
type endedUse struct {
	gateway     string
	own, silent bool
	extra       float64
}

// Ended returns what processes that have ended use of the extra retries.
func (v View) Ended(s Settings) float64 {
	all, _, _ := v.endedUses(v.equalShare(sharedPart * s.Extra))
	return all
}

// equalShare returns an equal share of the extra retries that gateways share.
func (v View) equalShare(extra float64) float64 { return extra / float64(max(1, v.Gateways)) }

// endedUses returns what processes that have ended use of the extra retries, where equal is an equal share. own is
// the part of it by earlier processes of this gateway, excess that by which other gateways are above an equal
// share with what they use now.
func (v View) endedUses(equal float64) (all, own, excess float64) {
	byGateway := maps.Clone(v.byGateway)
	for _, e := range v.ended {
		used := e.extra
		if e.silent {
			used = max(used, equal)
		}
		all += used
		if e.own {
			own += used
		} else if byGateway != nil {
			byGateway[e.gateway] += used
		}
	}
	for _, used := range byGateway {
		excess += max(0, used-equal)
	}
	return all, own, excess
}

// Members are the gateways that a gateway knows.
type Members struct {
	// Others are the names of the other gateways.
	Others []string
	// Estimated is the estimated number of all gateways, 0 if all are known.
	Estimated int
	// Unknown is set while the gateway does not know yet which others there are.
	Unknown bool
}

// View returns what is known for a service.
func (p *Peers) View(service string, m Members, window, now time.Duration) View {
	p.expire(now)
	count := max(len(m.Others)+1, m.Estimated)
	v := View{Gateways: p.count(count, window, now), Informed: p.isComplete(window, now), Whole: !m.Unknown && count == len(m.Others)+1}
	v.byGateway = make(map[string]float64, len(p.live))
	for name, r := range p.live {
		u := r.Uses[service]
		v.Requests += u.Requests
		v.Live += u.Extra
		v.byGateway[name] = u.Extra
	}
	for process, e := range p.ended {
		v.ended = append(v.ended, endedUse{gateway: process.Gateway, own: process.Gateway == p.self.Gateway, silent: e.silent, extra: e.uses[service].Extra})
	}
	for _, name := range m.Others {
		if _, live := p.live[name]; !live {
			v.Whole = false
		}
	}
	return v
}

// count returns the largest number of gateways in the last window.
func (p *Peers) count(current int, window, now time.Duration) int {
	if current >= p.most || now-p.mostAt >= window {
		p.most = current
	}
	if current >= p.most {
		p.mostAt = now
	}
	return max(1, p.most)
}

// share returns the part of the extra retries that this gateway may use, of the extra that is shared.
//
// While all others are heard, what ended processes don't use is shared by requests: the shares of gateways
// with the same view add up to it. What another gateway uses beyond its present share stays in use until
// its window has passed. While some are not heard, each gateway has an equal share.
func (v View) share(extra, requests float64) float64 {
	if !v.Informed {
		return 0
	}
	equal := v.equalShare(extra)
	ended, own, excess := v.endedUses(equal)
	if !v.Whole {
		return max(0, equal-own-excess)
	}
	part := equalPart / float64(max(1, v.Gateways))
	if total := requests + v.Requests; total > 0 {
		part += (1 - equalPart) * requests / total
	} else {
		part += (1 - equalPart) / float64(max(1, v.Gateways))
	}
	unused := extra - ended
	return max(0, min(part*unused, unused-v.Live))
}
