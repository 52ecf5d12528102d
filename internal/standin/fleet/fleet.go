package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// Services, host, paths, key and team of the standard configuration.
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

// Fleet is a stand-in for the platform with a store, servers and an operator.
type Fleet struct {
	Store *Store
	// AddProxy, if set, starts a proxy in front of a new server and returns the address that
	// the server announces.
	AddProxy func(address string) (string, error)

	// ReplacementDelay is the time from a server's crash to the start of its replacement,
	// EntryExpiryDelay the time until its entry is removed.
	ReplacementDelay, EntryExpiryDelay time.Duration
	// OnCrash, if set, is called with a server that has crashed, OnReplacement with its
	// replacement.
	OnCrash, OnReplacement func(*Server)

	mu            sync.Mutex
	closed        bool
	servers       []*Server
	configVersion int
	// deskTimeoutMs is the timeout of the routes to the desk service.
	deskTimeoutMs int
	// teamKey is the team's API key. addedPrefixes are the prefixes of the routes that AddRoutes
	// has added.
	teamKey       string
	addedPrefixes []string
	// lastConfig is the configuration that was written last.
	lastConfig map[string]any
	// cordons has every failure domain that the operator has ever cordoned; the value is false
	// once it was uncordoned.
	cordons map[string]bool
	// coldPerS is the limit of requests a second for cold servers, 0 for no limit. deskRegions are the
	// regions in which requests of the desk service may run, nil for all.
	coldPerS    float64
	deskRegions []string
	load        Load
}

// Load is what a configuration says about the load. Zero fields mean the standard values.
type Load struct {
	// PlanTargetMs is the latency target of streams on PlanPath, MaxPauseMs the bound on pauses
	// of streams, both in milliseconds.
	PlanTargetMs, MaxPauseMs int
	// EngineMemory is the memory of a model engine in tokens.
	EngineMemory int
	// HeaderBytes and BodyBytes are the limits of a request.
	HeaderBytes, BodyBytes int
}

// SetLoad writes a configuration with the given load.
func (f *Fleet) SetLoad(l Load) {
	f.mu.Lock()
	f.load = l
	key := f.teamKey
	f.mu.Unlock()
	f.Configure(key)
}

// New returns a platform with the standard configuration and without servers.
func New() *Fleet {
	f := &Fleet{Store: NewStore(), cordons: make(map[string]bool), deskTimeoutMs: 1500, ReplacementDelay: 2 * time.Second, EntryExpiryDelay: 3 * time.Second}
	f.Configure(Key)
	return f
}

// Close stops all servers and the store.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, s := range f.servers {
		s.Kill()
	}
	f.Store.Close()
}

// Crash simulates the crash of a server: it is killed at once, and after a delay each, its entry
// is removed and a replacement with the same behavior starts.
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
		replacement, err := f.Add(s.Service, s.FailureDomain, s.soundBehavior())
		if err == nil && f.OnReplacement != nil {
			f.OnReplacement(replacement)
		}
	})
}

func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Servers returns all servers ever started, in that order.
func (f *Fleet) Servers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.servers)
}

// Add starts a server and announces it.
func (f *Fleet) Add(service, domain string, b Behavior) (*Server, error) {
	id := fmt.Sprintf("i-%s-%s-%d", service, processTag, serverCount.Add(1))
	s, err := newServer(f, service, domain, id, b)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// Restart starts a new incarnation of a stopped server under the same id and address.
func (f *Fleet) Restart(old *Server) (*Server, error) {
	l, err := net.Listen("tcp", old.listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &Server{
		ID: old.ID, Service: old.Service, Address: old.Address, FailureDomain: old.FailureDomain, behavior: old.soundBehavior(),
		StartTime: max(time.Now().UnixMilli(), old.StartTime+1),
	}
	s.start(f, l)
	f.mu.Lock()
	f.servers = append(f.servers, s)
	f.mu.Unlock()
	return s, nil
}

// lastServerAt returns the server that had an address last, even if it has stopped: a
// copy of a run outlives the server it was made at.
func (f *Fleet) lastServerAt(address string) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range slices.Backward(f.servers) {
		if s.Address == address {
			return s
		}
	}
	return nil
}

const (
	// AddedPrefix begins the prefixes of the routes that AddRoutes adds.
	AddedPrefix = "/grown-"
	// AddedMaxAttempts is the number of servers that may run a request of such a route, which is
	// idempotent.
	AddedMaxAttempts = 2
)

// AddRoutes writes a new configuration with n more routes to the desk service and returns the
// prefix of the last. Later configurations keep these routes.
func (f *Fleet) AddRoutes(n int) string {
	f.mu.Lock()
	for range n {
		f.addedPrefixes = append(f.addedPrefixes, fmt.Sprintf("%s%d/", AddedPrefix, len(f.addedPrefixes)))
	}
	key, lastPrefix := f.teamKey, f.addedPrefixes[len(f.addedPrefixes)-1]
	f.mu.Unlock()
	f.Configure(key)
	return lastPrefix
}

// coldDuration is how long servers are cold after their start.
const coldDuration = 2 * time.Second

// SetColdLimitAndRegions writes a configuration with a limit of requests a second for cold servers
// and with the regions in which requests of the desk service may run.
func (f *Fleet) SetColdLimitAndRegions(coldPerS float64, regions ...string) {
	f.mu.Lock()
	f.coldPerS, f.deskRegions = coldPerS, regions
	key := f.teamKey
	f.mu.Unlock()
	f.Configure(key)
}

func allowedRegions(service string, regions []string) []string {
	if service != DeskService {
		return nil
	}
	return regions
}

// Configure writes a new version of the standard configuration. The team has the given
// key, and each extra prefix gets a route to the desk service.
func (f *Fleet) Configure(key string, extraPrefixes ...string) {
	f.mu.Lock()
	f.configVersion += 3
	f.teamKey = key
	version, timeout, extraPrefixes := f.configVersion, f.deskTimeoutMs, slices.Concat(f.addedPrefixes, extraPrefixes)
	coldPerS, regions, load := f.coldPerS, f.deskRegions, f.load
	f.mu.Unlock()
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "type": kind, "service": service, "timeoutMs": timeoutMs,
			"targetLatencyMs": targetMs, "maxAttempts": attempts, "priority": 1, "public": name == "open",
			"streamResume": name == "check", "itlTargetMs": cmp.Or(load.MaxPauseMs, 180), "allowedRegions": allowedRegions(service, regions),
		}
	}
	routes := []map[string]any{
		route("plan", "/plan/", "streaming", ModelService, 39000, cmp.Or(load.PlanTargetMs, 1800), 1),
		route("check", "/check/", "streaming", ModelService, 6000, 1500, 2),
		route("once", "/once/", "unsafe", DeskService, timeout, 150, 2),
		route("safe", "/safe/", "safe", DeskService, timeout, 150, 2),
		route("open", "/open/", "safe", DeskService, timeout, 150, 2),
	}
	for _, prefix := range extraPrefixes {
		routes = append(routes, route("more"+prefix, prefix, "safe", DeskService, timeout, 150, AddedMaxAttempts))
	}
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": ModelService, "maxConnections": 100, "coldStartS": coldDuration.Seconds(), "coldPerS": coldPerS, "inferenceEngine": map[string]any{
				"slots": 8, "kvCapacityTokens": cmp.Or(load.EngineMemory, 30000), "kvTokenBytes": 1000, "bandwidthMbps": 1000,
				"migrations": true, "replicas": true, "increment": 4, "kvTtlS": 5,
			}},
			{"name": DeskService, "maxConnections": 100, "coldStartS": coldDuration.Seconds(), "coldPerS": coldPerS},
		},
		"limits": map[string]any{
			"maxHeaderBytes": cmp.Or(load.HeaderBytes, 8192), "maxBodyBytes": cmp.Or(load.BodyBytes, 65536),
			"headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []map[string]any{{"name": Team, "apiKeys": []string{key}}},
	}
	f.mu.Lock()
	f.lastConfig = config
	f.mu.Unlock()
	f.Store.Put("op", "config", config)
}

// cordonKeyPrefix begins the keys of the rows by which the operator cordons a failure domain.
const cordonKeyPrefix = "evacuate/"

// Cordon writes the operator's request that servers of a failure domain get no requests.
func (f *Fleet) Cordon(domain string) {
	f.mu.Lock()
	f.cordons[domain] = true
	f.mu.Unlock()
	f.Store.Put("op", cordonKeyPrefix+domain, map[string]any{})
}

// Uncordon removes the operator's request to cordon a failure domain.
func (f *Fleet) Uncordon(domain string) {
	f.mu.Lock()
	f.cordons[domain] = false
	f.mu.Unlock()
	f.Store.Remove("op", cordonKeyPrefix+domain)
}

// RewriteRows writes the last rows of the operator and the servers again after the store was
// restored from a backup. It calls pause before each server's row.
func (f *Fleet) RewriteRows(pause func()) {
	f.mu.Lock()
	config, servers, cordoned := f.lastConfig, slices.Clone(f.servers), maps.Clone(f.cordons)
	f.mu.Unlock()
	f.Store.Put("op", "config", config)
	for domain, isCordoned := range cordoned {
		if isCordoned {
			f.Store.Put("op", cordonKeyPrefix+domain, map[string]any{})
		} else {
			f.Store.Remove("op", cordonKeyPrefix+domain)
		}
	}
	for _, s := range servers {
		pause()
		s.rewriteEntry()
	}
}
