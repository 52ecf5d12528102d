package fleet

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Services, hosts, paths and keys of the standard configuration.
const (
	ModelService = "model"
	DeskService  = "desk"
	Host         = "app.example"
	PlanPath     = "/plan/a"
	CheckPath    = "/check/a"
	OncePath     = "/once/a"
	SafePath     = "/safe/a"
	OpenPath     = "/open/a"
	Key          = "key-of-team-1"
	Team         = "team-1"
)

// Fleet is a small platform: a store, servers and an operator.
type Fleet struct {
	Store *Store
	// AddProxy, if set, puts something in front of a new server and returns the address
	// that the server announces.
	AddProxy func(address string) (string, error)

	// ReplacementDelay is how long after an end by a fault of its own a server's place is taken
	// by a new one, EntryExpiryDelay how long its entry stays.
	ReplacementDelay, EntryExpiryDelay time.Duration
	// OnCrash, if set, is told of such an end, OnReplacement of the new server.
	OnCrash, OnReplacement func(*Server)

	mu      sync.Mutex
	closed  bool
	servers []*Server
	version int
	// timeoutMs is the longest wait on the routes of the desk service.
	timeoutMs int
	// key is the team's, grown the prefixes that pile up.
	key   string
	grown []string
	// config is the newest version as it was written.
	config map[string]any
	// cordoned are the zones that the operator has ever emptied, false for those that were
	// taken back.
	cordoned map[string]bool
	// coldPerS is what cold servers bear, 0 for no bound; regions are where requests of the
	// desk service may run, nil for all.
	coldPerS float64
	regions  []string
}

// New starts a platform without servers, with the standard configuration.
func New() *Fleet {
	f := &Fleet{Store: NewStore(), cordoned: make(map[string]bool), timeoutMs: 1500, ReplacementDelay: 2 * time.Second, EntryExpiryDelay: 3 * time.Second}
	f.Configure(Key)
	return f
}

// Close ends everything.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.servers {
		s.Kill()
	}
	f.Store.Close()
}

// Crash ends a server as by a fault of its own: its process is gone at once, its entry lapses,
// and a new one of its kind starts some time later.
func (f *Fleet) Crash(s *Server) {
	if s.stopped.Load() {
		return
	}
	s.Kill()
	if f.OnCrash != nil {
		f.OnCrash(s)
	}
	time.AfterFunc(f.EntryExpiryDelay, func() {
		if !f.isClosed() {
			s.RemoveEntry()
		}
	})
	time.AfterFunc(f.ReplacementDelay, func() {
		if f.isClosed() {
			return
		}
		s.mu.Lock()
		b := s.behave
		s.mu.Unlock()
		again, err := f.Add(s.Service, s.FailureDomain, b)
		if err == nil && f.OnReplacement != nil {
			f.OnReplacement(again)
		}
	})
}

func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Servers lists all servers that were ever started.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

// Add starts a server.
func (f *Fleet) Add(service, zone string, b Behavior) (*Server, error) {
	id := fmt.Sprintf("i-%s-%s-%d", service, process, servers.Add(1))
	s, err := newServer(f, service, zone, id, b)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// Restart begins another life of a server that has ended, under its id and at its
// address.
func (f *Fleet) Restart(old *Server) (*Server, error) {
	l, err := net.Listen("tcp", old.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: old.ID, Service: old.Service, Address: old.Address, FailureDomain: old.FailureDomain, behave: old.behave,
		StartTime: max(time.Now().UnixMilli(), old.StartTime+1),
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	s.serve(f, l)
	return s, nil
}

// byAddress returns the server that had an address last, also if it has ended: a
// copy outlives the server that it was made of.
func (f *Fleet) byAddress(address string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range slices.Backward(f.servers) {
		if s.Address == address {
			return s
		}
	}
	return nil
}

// AddRoutes writes a new version with n routes more to the desk service, which stay, and
// returns the prefix of the last.
func (f *Fleet) AddRoutes(n int) string {
	f.mu.Lock()
	for range n {
		f.grown = append(f.grown, fmt.Sprintf("/grown-%d/", len(f.grown)))
	}
	key, last := f.key, f.grown[len(f.grown)-1]
	f.mu.Unlock()
	f.Configure(key)
	return last
}

// coldTime is how long servers are cold after their start.
const coldTime = 2 * time.Second

// SetColdLimit has operators say what cold servers bear a second, and in which regions requests of
// the desk service may run.
func (f *Fleet) SetColdLimit(coldPerS float64, regions ...string) {
	f.mu.Lock()
	f.coldPerS, f.regions = coldPerS, regions
	key := f.key
	f.mu.Unlock()
	f.Configure(key)
}

func regionsOf(service string, regions []string) []string {
	if service != DeskService {
		return nil
	}
	return regions
}

// Configure writes a new version of the standard configuration in which the team
// has the given key, with further routes to the desk service.
func (f *Fleet) Configure(key string, more ...string) {
	f.mu.Lock()
	f.version += 3
	f.key = key
	version, timeout, more := f.version, f.timeoutMs, slices.Concat(f.grown, more)
	coldPerS, regions := f.coldPerS, f.regions
	f.mu.Unlock()
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "type": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": targetMs, "maxAttempts": attempts, "priority": 1, "public": name == "open",
			"streamResume": name == "check", "itlTargetMs": 180, "allowedRegions": regionsOf(service, regions),
		}
	}
	routes := []map[string]any{
		route("plan", "/plan/", "streaming", ModelService, 39000, 1800, 1),
		route("check", "/check/", "streaming", ModelService, 6000, 1500, 2),
		route("once", "/once/", "unsafe", DeskService, timeout, 150, 2),
		route("safe", "/safe/", "safe", DeskService, timeout, 150, 2),
		route("open", "/open/", "safe", DeskService, timeout, 150, 2),
	}
	for _, prefix := range more {
		routes = append(routes, route("more"+prefix, prefix, "safe", DeskService, timeout, 150, 2))
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": ModelService, "maxConnections": 100, "coldStartS": coldTime.Seconds(), "coldPerS": coldPerS, "inferenceEngine": map[string]any{
				"slots": 8, "kvCapacityTokens": 30000, "kvTokenBytes": 1000, "bandwidthMbps": 1000,
				"migrations": true, "replicas": true, "increment": 4, "kvTtlS": 5,
			}},
			{"name": DeskService, "maxConnections": 100, "coldStartS": coldTime.Seconds(), "coldPerS": coldPerS},
		},
		"limits":  map[string]any{"maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": Team, "apiKeys": []string{key}}},
	}
	f.mu.Lock()
	f.config = config
	f.mu.Unlock()
	f.Store.Put("op", "config", config)
}

// cordonPrefix begins the keys of the operator's requests to empty a failure domain.
const cordonPrefix = "evacuate/"

// Cordon has the operator ask that the servers of a zone get nothing.
func (f *Fleet) Cordon(zone string) {
	f.mu.Lock()
	f.cordoned[zone] = true
	f.mu.Unlock()
	f.Store.Put("op", cordonPrefix+zone, map[string]any{})
}

// Uncordon takes that back.
func (f *Fleet) Uncordon(zone string) {
	f.mu.Lock()
	f.cordoned[zone] = false
	f.mu.Unlock()
	f.Store.Remove("op", cordonPrefix+zone)
}

// RewriteRows has operator and servers write again what they wrote last, in a store that has
// come back older; pause is called between two writes.
func (f *Fleet) RewriteRows(pause func()) {
	f.mu.Lock()
	config, servers, cordoned := f.config, slices.Clone(f.servers), maps.Clone(f.cordoned)
	f.mu.Unlock()
	f.Store.Put("op", "config", config)
	for zone, empty := range cordoned {
		if empty {
			f.Store.Put("op", cordonPrefix+zone, map[string]any{})
		} else {
			f.Store.Remove("op", cordonPrefix+zone)
		}
	}
	for _, s := range servers {
		pause()
		s.rewrite()
	}
}
