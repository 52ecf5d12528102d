package concurrency

import "time"

const (
	// newServerTime is how long a server without answers counts with newServerPart of the capacity
	// of the others. A gateway that has none after that time sends too little to measure the
	// server, and the others do.
	newServerTime = 2 * time.Second
	newServerPart = 0.5
	// MaxSlots bounds the slots of a server that count.
	MaxSlots = 10000
)

// Server is a server that takes requests.
type Server struct {
	Slots int
	// Answers are the server's own answers, nil for none.
	Answers *Answers
	// Age is how long the server has been known.
	Age time.Duration
	// RateLimit is the rate limit of the server in requests per second, 0 for none.
	RateLimit float64
}

// Capacity is what the servers of a service can answer.
type Capacity struct {
	// PerSecond is the number of requests per second, 0 if it is not known.
	PerSecond float64
	// Slots and Servers count the slots and the servers.
	Slots, Servers int
	// Usual is the usual time of an answer.
	Usual time.Duration
	// Delay is how much longer than usual answers take now.
	Delay time.Duration
	// Slow reports that an answer was slow lately.
	Slow bool
}

// NewCapacity returns the capacity of servers. service are the answers of all servers of the
// service, from which the capacity of servers without answers is taken.
func NewCapacity(servers []Server, service *Answers, now time.Duration) Capacity {
	c := Capacity{Servers: len(servers), Usual: service.Usual(), Delay: service.Delay(now), Slow: service.IsSlow(now)}
	for _, s := range servers {
		slots := int(bounded(float64(s.Slots), 0, MaxSlots))
		c.Slots += slots
		rate := s.perSecond(slots, service, now)
		if s.RateLimit > 0 {
			rate = min(rate, s.RateLimit)
		}
		c.PerSecond += rate
	}
	return c
}

// perSecond returns the requests per second that a server answers, 0 if that is not known.
func (s *Server) perSecond(slots int, service *Answers, now time.Duration) float64 {
	answers, part := s.Answers, 1.0
	if answers == nil || !answers.IsCurrent(now) {
		answers = service
		if s.Age < newServerTime {
			part = newServerPart
		}
	}
	if answers.Usual() == 0 {
		return 0
	}
	return part * answers.Fraction(now) * perSecond(float64(slots), answers.Usual())
}
