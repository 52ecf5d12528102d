package prefill

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const bound = 180 * time.Millisecond

// engines returns fast engines with a usual pause of 20 ms and slow ones with one of 45 ms.
func engines(fast, slow int) (list []Engine) {
	for i := range fast {
		list = append(list, Engine{Name: fmt.Sprint("fast-", i), Hash: uint64(i), Pause: 20 * time.Millisecond})
	}
	for i := range slow {
		list = append(list, Engine{Name: fmt.Sprint("slow-", i), Hash: uint64(i * 7919 % 1000), Pause: 45 * time.Millisecond})
	}
	return list
}

// plan plans every 100 ms for some time, while the first busy engines read prompts.
func plan(p *Planner, list []Engine, busy int, from, duration time.Duration) time.Duration {
	for i := range list {
		list[i].PromptTokens = 0
		if i < busy {
			list[i].PromptTokens = 3000
		}
	}
	now := from
	for ; now < from+duration; now += planInterval {
		p.ObserveLong(bound, 160*time.Millisecond, now)
		p.Plan(list, 0.6, now)
	}
	return now
}

// Fast engines read prompts and run streams. As many slow ones read prompts as the load needs, which all
// gateways choose alike. Guards against a set of prefill engines that does not follow the load, or that
// alternates with it.
func TestPrefillEnginesFollowThePromptLoad(t *testing.T) {
	p := &Planner{}
	list := engines(10, 30)
	now := plan(p, list, 0, time.Second, 20*time.Second)
	require.Equal(t, []int{10, 0, 30}, []int{p.Count(RoleTolerant), p.Count(RolePrefill), p.Count(RoleStream)})
	now = plan(p, list, 14, now, 60*time.Second)
	grown := p.Count(RolePrefill)
	require.InDelta(t, 16, grown, 3)
	other := &Planner{}
	plan(other, list, 14, time.Second, 60*time.Second)
	for _, e := range list {
		require.Equal(t, other.Role(e.Name), p.Role(e.Name), "gateways choose the same engines")
	}
	now = plan(p, list, 0, now, 3*time.Second)
	require.GreaterOrEqual(t, p.Count(RolePrefill), grown-3, "a short calm changes little")
	changes, last := 0, p.Count(RolePrefill)
	for range 20 {
		now = plan(p, list, 14, now, time.Second)
		now = plan(p, list, 12, now, time.Second)
		if n := p.Count(RolePrefill); n > last {
			changes++
			last = n
		}
	}
	require.LessOrEqual(t, changes, 2)
	plan(p, list, 0, now, 3*time.Minute)
	require.Zero(t, p.Count(RolePrefill))
}

// Guards against roles where they gain nothing or are based on too little: prompts would be kept from engines
// that could read them.
func TestNoRolesWithoutGain(t *testing.T) {
	now := 100 * time.Second
	for name, tt := range map[string]struct {
		list      []Engine
		bound     time.Duration
		copyTime  time.Duration
		memoryUse float64
		want      bool
	}{
		"engines differ":         {engines(10, 30), bound, 160 * time.Millisecond, 0.6, true},
		"one of four is fast":    {engines(1, 3), bound, 160 * time.Millisecond, 0.6, true},
		"equal engines":          {engines(0, 40), bound, 160 * time.Millisecond, 0.6, false},
		"all fast":               {engines(40, 0), bound, 160 * time.Millisecond, 0.6, false},
		"a single fast one":      {engines(1, 39), bound, 160 * time.Millisecond, 0.6, false},
		"no bound":               {engines(10, 30), 0, 160 * time.Millisecond, 0.6, false},
		"wide bound":             {engines(10, 30), time.Second, 160 * time.Millisecond, 0.6, false},
		"bound that none keeps":  {engines(10, 30), 50 * time.Millisecond, 160 * time.Millisecond, 0.6, false},
		"thin link":              {engines(10, 30), bound, 400 * time.Millisecond, 0.6, false},
		"unknown link":           {engines(10, 30), bound, 0, 0.6, false},
		"full memory":            {engines(10, 30), bound, 160 * time.Millisecond, 0.96, false},
		"memory use of no sense": {engines(10, 30), bound, 160 * time.Millisecond, math.NaN(), false},
		"most paces unknown":     {append(engines(2, 4), make([]Engine, 10)...), bound, 160 * time.Millisecond, 0.6, false},
		"no engines":             {nil, bound, 160 * time.Millisecond, 0.6, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Planner{}
			p.ObserveLong(tt.bound, tt.copyTime, now)
			p.Plan(tt.list, tt.memoryUse, now)
			require.Equal(t, tt.want, p.Active())
		})
	}
	var none *Planner
	require.False(t, none.Active())
	require.Equal(t, RoleNone, none.Role("a"))
}

// The long generations end. Guards against roles that stay because of a bound that no request has any more.
func TestRolesEndWithTheLongGenerations(t *testing.T) {
	p := &Planner{}
	list := engines(10, 30)
	now := plan(p, list, 20, time.Second, 10*time.Second)
	require.True(t, p.Active())
	p.Plan(list, 0.6, now+2*boundAge)
	require.False(t, p.Active())
}

// Prompts are read apart, so that the streams of slow engines don't stall any more. Guards against slow engines
// that then count as tolerant and get prompts again.
func TestClassesDoNotChangeOnceStallsAreGone(t *testing.T) {
	p := &Planner{}
	list := engines(10, 30)
	now := time.Second
	for i := range 6000 {
		// The prefill engines read all the time, and are in a dip for 15 % of it.
		ratio := 2.0
		if i%60 < 9 {
			ratio = 5
		}
		for range 2 {
			p.ObserveBesidePrompt(time.Duration(ratio*20)*time.Millisecond, 20*time.Millisecond)
		}
		if i%4 == 0 {
			now = plan(p, list, 20, now, planInterval)
			require.Equal(t, 10, p.Count(RoleTolerant))
		}
	}
	require.InDelta(t, 5, p.Stretch(), 0.6)
	require.InDelta(t, 2, p.PromptFactor(), 0.3)
}

// Guards against a pause, a load or a time without sense that spoils the estimates.
func TestSenselessInputIsBounded(t *testing.T) {
	p := &Planner{}
	for range 1000 {
		p.ObserveBesidePrompt(time.Hour, time.Nanosecond)
		p.ObserveBesidePrompt(-1, time.Millisecond)
		p.ObserveBesidePrompt(1, 0)
	}
	require.LessOrEqual(t, p.Stretch(), float64(maxRatio))
	p.ObserveLong(bound, math.MaxInt64, 0)
	list := engines(10, 30)
	list[3].PromptTokens, list[4].Pause = -5, -time.Second
	p.Plan(list, math.Inf(1), 5*time.Second)
	p.Plan(list, -1, time.Second)
	require.False(t, math.IsNaN(p.load))
	var d Dip
	require.False(t, d.Observe(math.NaN(), 0))
	require.False(t, d.Observe(math.Inf(1), 0))
}

// Guards against a dip that is not seen, or that is seen in a single delayed event or for too long.
func TestDipIsSeenFromItsPauses(t *testing.T) {
	var d Dip
	now := 10 * time.Second
	require.False(t, d.Observe(1.8, now), "one delayed event")
	require.False(t, d.Observe(1.0, now))
	require.False(t, d.Observe(1.8, now))
	require.True(t, d.Observe(1.7, now))
	require.True(t, d.Active(now+dipTime-1))
	require.False(t, d.Active(now+dipTime))
	require.True(t, d.Observe(2.5, now+time.Second))
	d.Observe(1.1, now+time.Second+10*time.Millisecond)
	require.False(t, d.Active(now+time.Second+10*time.Millisecond), "the pauses are as usual again")
	require.False(t, d.Active(0), "a clock that steps back")
}

// Guards against moves that cost a stream more than they gain.
func TestMovesAreMadeOnlyIfTheyGain(t *testing.T) {
	run := Run{Role: RolePrefill, MemoryUse: 0.5, Rest: 5 * time.Second, LongestPause: 60 * time.Millisecond, MaxPause: bound, CopyTime: 160 * time.Millisecond}
	for name, tt := range map[string]struct {
		change func(r *Run)
		want   Cause
	}{
		"prefill engine":    {func(*Run) {}, CauseNone},
		"streaming engine":  {func(r *Run) { r.Role = RoleStream }, CauseStays},
		"unknown engine":    {func(r *Run) { r.Role = RoleUnknown }, CauseStays},
		"tolerant engine":   {func(r *Run) { r.Role = RoleTolerant }, CauseStays},
		"full tolerant one": {func(r *Run) { r.Role, r.MemoryUse = RoleTolerant, 0.9 }, CauseNone},
		"short rest":        {func(r *Run) { r.Rest = 900 * time.Millisecond }, CauseShort},
		"late already":      {func(r *Run) { r.LongestPause = bound + 1 }, CauseLate},
		"slow link":         {func(r *Run) { r.CopyTime = 301 * time.Millisecond }, CauseLink},
		"link is not known": {func(r *Run) { r.CopyTime = 0 }, CauseLink},
	} {
		t.Run(name, func(t *testing.T) {
			r := run
			tt.change(&r)
			require.Equal(t, tt.want, r.Decide())
		})
	}
	require.True(t, PauseFits(10*time.Millisecond, 45*time.Millisecond, bound))
	require.False(t, PauseFits(80*time.Millisecond, 45*time.Millisecond, bound))
	require.False(t, PauseFits(10*time.Millisecond, 45*time.Millisecond, 100*time.Millisecond))
}

// Guards against a run that is moved to where it stalls again, or to memory that prompts need.
func TestTargetsRunStreamsAndHaveRoom(t *testing.T) {
	for _, tt := range []struct {
		target Target
		want   bool
	}{
		{Target{Role: RoleStream, MemoryUse: 0.85, CopyTime: 200 * time.Millisecond}, true},
		{Target{Role: RoleStream, MemoryUse: 0.95}, false},
		{Target{Role: RoleStream, MemoryUse: 0.5, InDip: true}, false},
		{Target{Role: RoleStream, MemoryUse: 0.5, CopyTime: 400 * time.Millisecond}, false},
		{Target{Role: RoleTolerant, MemoryUse: 0.6}, true},
		{Target{Role: RoleTolerant, MemoryUse: 0.7}, false},
		{Target{Role: RolePrefill, MemoryUse: 0.1}, false},
		{Target{Role: RoleUnknown, MemoryUse: 0.1}, false},
		{Target{Role: RoleNone, MemoryUse: 0.1}, false},
	} {
		require.Equal(t, tt.want, tt.target.Takes(), "%+v", tt.target)
	}
}
