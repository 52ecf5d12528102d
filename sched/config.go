package sched

import "time"

// Config configures a Forecasting policy. A zero field means its default.
type Config struct {
	// Capacity is the engine's memory in tokens.
	Capacity int
	// MaxBatch limits the number of streams that run at once, and thereby the
	// time between two tokens of a stream.
	MaxBatch int
	// MaxWait is the longest time that a request may wait for its start.
	MaxWait time.Duration
	// Sigmas is the safety margin of the forecast: the mean of the peak plus
	// this many standard deviations must stay below capacity.
	Sigmas float64
	// ReserveFraction is the fraction of capacity that teams over their share
	// leave free for teams within theirs.
	ReserveFraction float64
	// Disabled selects features to switch off, for ablation benchmarks.
	Disabled DisabledFeatures
}

// DisabledFeatures are the features of the policy that are switched off; a zero
// value leaves all of them on.
type DisabledFeatures struct {
	// If a field is set, this changes:
	// Forecast: admission counts only the memory that a job uses now.
	// Shares: teams have no share; queued jobs start in order of arrival.
	// Preemption: the policy pauses no stream.
	// Refusal: no request is refused and no queued request expires.
	// Reserve: ReserveFraction is 0.
	Forecast, Shares, Preemption, Refusal, Reserve bool
}

// Defaults of Config.
const (
	DefaultMaxBatch        = 256
	DefaultMaxWait         = 10 * time.Second
	DefaultSigmas          = 1.0
	DefaultReserveFraction = 0.07
)

func (c Config) withDefaults() Config {
	if c.MaxBatch == 0 {
		c.MaxBatch = DefaultMaxBatch
	}
	if c.MaxWait == 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Sigmas == 0 {
		c.Sigmas = DefaultSigmas
	}
	if c.ReserveFraction == 0 {
		c.ReserveFraction = DefaultReserveFraction
	}
	if c.Disabled.Reserve {
		c.ReserveFraction = 0
	}
	return c
}
