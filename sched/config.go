package sched

import "time"

// Config sets a Forecasting policy. Zero fields take the defaults.
type Config struct {
	// Capacity is the engine's memory in tokens.
	Capacity int
	// MaxBatch bounds the streams that run at once, which bounds the time
	// between tokens.
	MaxBatch int
	// MaxWait is the longest a request may wait for its start.
	MaxWait time.Duration
	// Sigmas is how many standard deviations above its mean the forecast peak
	// must stay below capacity.
	Sigmas float64
	// ReserveFraction is the fraction of capacity that teams over their share leave
	// free for teams under theirs.
	ReserveFraction float64
	// Disabled switches parts off, for ablation.
	Disabled DisabledFeatures
}

// DisabledFeatures are switches for the parts of the policy.
type DisabledFeatures struct {
	Forecast, Shares, Preemption, Refusal, Reserve bool
}

// Defaults of Config.
const (
	DefaultMaxBatch = 256
	DefaultMaxWait  = 10 * time.Second
	DefaultSigmas   = 1.0
	DefaultReserve  = 0.07
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
		c.ReserveFraction = DefaultReserve
	}
	if c.Disabled.Reserve {
		c.ReserveFraction = 0
	}
	return c
}
