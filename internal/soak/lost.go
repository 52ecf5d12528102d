package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

const (
	// configApplyTime is the time within which a configuration or settings are in force.
	configApplyTime = 2 * time.Second
	// readTime is the time within which a request that was not passed on may meet a close.
	readTime = 200 * time.Millisecond
	// lateSend is how long after SIGTERM a request may be sent and cut off in the last part of the grace period.
	lateSend = 3 * time.Second
	// timeoutSlack is how much sooner than its timeout a request may be cut off: callers' clocks start before the
	// gateway's.
	timeoutSlack = 20 * time.Millisecond
	// maxConfigRatio is how much more often responses may be cut off beside a change of the configuration than at
	// other times, maxConfigUse the share of its timeout that a request has not yet used then.
	maxConfigRatio = 3
	maxConfigUse   = 0.7
)

// verdict says why a response that is cut off counts or does not.
type verdict string

const (
	notRead      verdict = "crossed a close"
	brokenOff    verdict = "server broke off"
	timeIsUp     verdict = "time is up"
	stillAtWork  verdict = "server still at work in the last sixth of the grace period"
	unrelated    verdict = "no planned work"
	besideTerm   verdict = "SIGTERM"
	besideHup    verdict = "SIGHUP"
	besideConfig verdict = "configuration"
	// outlived: SIGKILL was due before, and came late on a busy machine.
	outlived verdict = "sent after the grace period"
)

func (v verdict) counts() bool { return v == besideTerm || v == besideHup }

// cut is a response that was cut off, and what servers and signals say about it.
type cut struct {
	begun, sent, ended time.Time
	timeout            time.Duration
	passedOn           bool
	// workings are the times in which servers worked on it, in order.
	workings []fleet.Working
	life     life
	configs  []span
}

func (c cut) judge() verdict {
	if kill := c.life.terminated.Add(plannedGrace); c.life.wasKilled() && c.ended.After(kill) {
		c.ended = kill
	}
	switch {
	case c.life.wasKilled() && c.sent.After(c.life.terminated.Add(plannedGrace)):
		return outlived
	case !c.passedOn && c.ended.Sub(c.sent) <= readTime:
		return notRead
	case c.lastEnding() == fleet.EndBroken:
		return brokenOff
	case c.ended.Sub(c.begun) >= c.timeout-timeoutSlack:
		return timeIsUp
	}
	if term := c.life.terminated; !term.IsZero() && !c.ended.Before(term) && !c.ended.After(term.Add(plannedGrace+time.Second)) {
		if !c.sent.After(term.Add(lateSend)) && c.isAtWork(term.Add(plannedGrace*5/6), term.Add(plannedGrace)) {
			return stillAtWork
		}
		return besideTerm
	}
	for _, hup := range c.life.hups {
		if c.ended.After(hup) && !c.sent.After(hup.Add(configApplyTime)) {
			return besideHup
		}
	}
	for _, s := range c.configs {
		if !c.ended.Before(s.from) && !c.ended.After(s.to) && c.ended.Sub(c.begun) < time.Duration(maxConfigUse*float64(c.timeout)) {
			return besideConfig
		}
	}
	return unrelated
}

// lastEnding returns how the work that began last ended, empty if no server worked on the request.
func (c cut) lastEnding() fleet.Ending {
	if len(c.workings) == 0 {
		return ""
	}
	return c.workings[len(c.workings)-1].Ending
}

func (c cut) isAtWork(from, to time.Time) bool {
	for _, w := range c.workings {
		if !w.To.Before(from) && w.From.Before(to) {
			return true
		}
	}
	return false
}

// serverRecord is what the servers recorded about a request.
type serverRecord struct {
	arrivals []time.Time
	// workings are the times in which servers worked on it, in order, servers their ids.
	workings []fleet.Working
	servers  []string
}

func (r *serverRecord) add(w fleet.Working, server string) {
	i, _ := slices.BinarySearchFunc(r.workings, w.From, func(w fleet.Working, from time.Time) int { return w.From.Compare(from) })
	r.workings, r.servers = slices.Insert(r.workings, i, w), slices.Insert(r.servers, i, server)
}

func (p *plannedRun) serverRecords() map[string]*serverRecord {
	records := make(map[string]*serverRecord)
	get := func(id string) *serverRecord {
		if records[id] == nil {
			records[id] = &serverRecord{}
		}
		return records[id]
	}
	for _, srv := range p.fleet.Servers() {
		for _, a := range srv.Arrivals() {
			r := get(a.ID)
			r.arrivals = append(r.arrivals, a.At)
		}
		for _, w := range srv.Workings() {
			get(w.ID).add(w, srv.ID)
		}
	}
	return records
}

// lifeAt returns the process that took a connection which was opened at a time.
func (g *gateway) lifeAt(t time.Time) (found life) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, l := range g.lives {
		if !l.started.After(t) {
			found = *l
		}
	}
	return found
}

// check judges every response that was cut off. All callers and servers must be done.
func (p *plannedRun) check() (*PlannedResult, error) {
	res := &PlannedResult{FaultLog: p.faultLog, Exempt: make(map[string]int), Counted: make(map[string]int), Statuses: make(map[int]int)}
	records, logs := p.serverRecords(), make(map[*gateway][]string)
	for _, g := range p.gateways {
		data, err := os.ReadFile(filepath.Join(p.Dir, g.settings.Name+".log"))
		if err != nil {
			return nil, err
		}
		logs[g] = strings.Split(string(data), "\n")
		p.checkLives(res, g)
	}
	var besideConfigs []string
	for _, o := range p.outcomes {
		record := records[o.id]
		if record == nil {
			record = &serverRecord{}
		}
		res.Sent++
		res.Statuses[o.status]++
		if o.wrong != "" {
			res.Violations = append(res.Violations, fmt.Sprintf("%s %s: %s", o.id, o.path, o.wrong))
		}
		if promises(o.status) && len(record.workings) > 0 && !strings.HasPrefix(o.path, "/safe/") && !strings.HasPrefix(o.path, "/check/") {
			res.Violations = append(res.Violations, fmt.Sprintf("%s %s was reported as not run but was executed", o.id, o.path))
		}
		l := o.gateway.lifeAt(o.dialed)
		if !l.terminated.IsZero() && o.sent.After(l.terminated.Add(lateSend)) {
			res.Late++
		}
		switch {
		case o.left:
			res.Exempt["caller left"]++
			res.Left = append(res.Left, fmt.Sprintf("caller left: %s %s at %s, status %d, %d of %d bytes, sent %.3f s after the start", o.id, o.path, o.gateway.settings.Name, o.status, o.bytes, o.bytesWanted, o.sent.Sub(p.begun).Seconds()))
			continue
		case o.err == nil:
			res.Whole++
			continue
		}
		c := cut{o.begun, o.sent, o.ended, o.timeout, len(record.arrivals) > 0, record.workings, l, p.configs}
		if !c.life.ended.IsZero() && c.life.ended.Before(c.ended) {
			c.ended = c.life.ended
		}
		v := c.judge()
		lines := linesWith(logs[o.gateway], o.id)
		text := p.describe(o, c, record, v, lines)
		switch {
		case v.counts():
			res.Counted[string(c.lastEnding())]++
			res.Violations = append(res.Violations, text)
		case v == besideConfig:
			besideConfigs = append(besideConfigs, text)
		case v == unrelated:
			res.Others = append(res.Others, text)
		default:
			res.Exempt[string(v)]++
		}
		if o.isStream && v != notRead && !c.life.wasKilled() && !namesCause(lines) {
			res.Unnamed++
			res.Violations = append(res.Violations, "no line says why: "+text)
		}
	}
	p.judgeConfigs(res, besideConfigs)
	return res, nil
}

// checkLives requires that processes end by themselves and within the grace period.
func (p *plannedRun) checkLives(res *PlannedResult, g *gateway) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, l := range g.lives {
		if l.terminated.IsZero() {
			if !l.ended.IsZero() {
				res.Violations = append(res.Violations, fmt.Sprintf("%s ended by itself: %s", g.settings.Name, l.state))
			}
			continue
		}
		res.Terms++
		if l.wasKilled() {
			res.Killed++
		} else if !l.ended.IsZero() && l.state != "exit status 0" {
			res.Violations = append(res.Violations, fmt.Sprintf("%s, process %d, ended %v after its start, %v after SIGTERM: %s", g.settings.Name, i+1, l.ended.Sub(l.started), l.ended.Sub(l.terminated), l.state))
		}
	}
}

// judgeConfigs counts the cuts beside changes of the configuration if there are more of them than at other times.
func (p *plannedRun) judgeConfigs(res *PlannedResult, besideConfigs []string) {
	var beside time.Duration
	for i, s := range p.configs {
		to := s.to
		if i+1 < len(p.configs) && p.configs[i+1].from.Before(to) {
			to = p.configs[i+1].from
		}
		beside += to.Sub(s.from)
	}
	other := max(time.Second, p.Duration-beside)
	if float64(len(besideConfigs))*other.Seconds() > maxConfigRatio*float64(len(res.Others))*beside.Seconds() {
		res.Counted[string(besideConfig)] = len(besideConfigs)
		res.Violations = append(res.Violations, besideConfigs...)
		return
	}
	res.Others = append(res.Others, besideConfigs...)
}

func linesWith(lines []string, id string) (found []string) {
	for _, line := range lines {
		if strings.Contains(line, `"`+id+`"`) {
			found = append(found, line)
		}
	}
	return found
}

func namesCause(lines []string) bool {
	for _, line := range lines {
		if strings.Contains(line, `"response cut off"`) || strings.Contains(line, `"gave up"`) {
			return true
		}
	}
	return false
}

// describe returns the evidence about a cut, with times in seconds from SIGTERM, or from the start of the run.
func (p *plannedRun) describe(o outcome, c cut, r *serverRecord, v verdict, lines []string) string {
	zero, name := c.life.terminated, "SIGTERM"
	if zero.IsZero() {
		zero, name = p.begun, "the start"
	}
	at := func(t time.Time) string { return fmt.Sprintf("%+.3f", t.Sub(zero).Seconds()) }
	text := fmt.Sprintf("%s: %s %s at %s, %s, status %d, %d of %d bytes, %v; from %s: opened %s, begun %s, sent %s, cut %s",
		v, o.id, o.path, o.gateway.settings.Name, wayNames[o.way], o.status, o.bytes, o.bytesWanted, o.err, name, at(c.life.started.Add(o.dialed.Sub(c.life.started))), at(o.begun), at(o.sent), at(c.ended))
	if !c.life.ended.IsZero() {
		text += fmt.Sprintf(", process ended %s (%s)", at(c.life.ended), c.life.state)
	}
	for i, w := range r.workings {
		text += fmt.Sprintf("; %s worked %s to %s: %s", r.servers[i], at(w.From), at(w.To), w.Ending)
	}
	for _, a := range r.arrivals {
		text += "; arrived " + at(a)
	}
	return text + "\n    " + strings.Join(lines, "\n    ")
}
