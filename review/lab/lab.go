// Package lab starts the gateways of a small deployment as separate processes on loopback, against a
// stand-in for the platform's store, for the cases of the review.
package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitFailed = 2
)

// HeartbeatInterval is how often servers write their entries.
const HeartbeatInterval = 1200 * time.Millisecond

// Lab is a small deployment.
type Lab struct {
	Store    *fleet.Store
	Gateways []*Gateway
	// OnServerLine, if set, is called with each line that a server writes about its work.
	OnServerLine func(server, line string)
	// DeskTimeoutMs and DeskTargetMs are of the routes to the desk service.
	DeskTimeoutMs, DeskTargetMs int
	// ResumablePlans lets long streams be resumed, like short ones.
	ResumablePlans bool

	dir   string
	start time.Time
	mu    sync.Mutex
	out   *os.File
	// servers are all that were started.
	servers []*Server
}

// Gateway is a gateway's process.
type Gateway struct {
	Name, Zone, Callers, Ready string

	settings string
	core     int
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// Zones are the failure domains of the deployment.
var Zones = []string{"zone-a", "zone-b", "zone-c"}

// New creates a deployment without gateways, which writes its record to a file.
func New(record string) (*Lab, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "kingcup-review-")
	if err != nil {
		return nil, err
	}
	return &Lab{Store: fleet.NewStore(), DeskTimeoutMs: 1000, DeskTargetMs: 150, dir: dir, start: time.Now(), out: out}, nil
}

// Close ends all processes and removes the temporary folder.
func (l *Lab) Close() {
	for _, g := range l.Gateways {
		g.Kill()
		g.log.Close()
	}
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, s := range servers {
		s.end()
	}
	l.Store.Close()
	l.out.Close()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(l.dir)
	}
}

// Logf adds a line to the record.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// Dir returns the temporary folder.
func (l *Lab) Dir() string { return l.dir }

// Bounds are the bounds of the settings, as on the sheet of the site of the cases.
func bounds() map[string]any {
	return map[string]any{
		"seedLagS": 3, "addressReuseS": 2, "contactWindowMs": 3000, "ackTimeoutMs": 4000, "catchUpS": 4, "drainTimeoutMs": 2000, "gracePeriodS": 8,
		"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "partitionBoundMs": 5000, "revocationStrict": true, "revokeTimeoutMs": 5000,
		"retryBudgetRatio": 0.2, "retryWindowS": 10, "retryMinExtra": 52, "recoveryS": 12, "deliveryLagMs": 120, "retryAfterS": 5.9,
	}
}

// AddGateway starts a gateway in a zone with the command of the deploy file.
func (l *Lab) AddGateway(zone string) error {
	n := len(l.Gateways)
	endpoint, err := l.Store.AddEndpoint()
	if err != nil {
		return err
	}
	// The address is derived from the process's id, so that the ports on it are free.
	ip := fmt.Sprintf("127.%d.%d.%d", 130+n, os.Getpid()>>8&255, os.Getpid()&255)
	g := &Gateway{Name: fmt.Sprintf("edge-%s-%d", zone, n+1), Zone: zone, Callers: ip + ":8740", Ready: ip + ":8749", core: n % runtime.NumCPU()}
	zones := make(map[string]string)
	for _, z := range Zones {
		zones[z] = "region"
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": g.Name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region", "zones": zones,
		"listenAddrs": map[string]string{"frontend": g.Callers, "ready": g.Ready}, "internalPortRange": []int{7200, 7215}, "seedNodes": []string{},
		"bootstrap": true, "lossCounts": false,
		"limits":  map[string]any{"cpuQuota": 0.304, "cpuCores": 1, "memoryMb": MemoryMB, "maxFds": 4100, "bandwidthMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeatIntervalMs": HeartbeatInterval.Milliseconds(),
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]any{"machineFailures": 1, "zones": 0, "regionFailures": 0}, "bounds": bounds(),
		"platform": map[string]any{
			"address": endpoint.Address, "form": "table", "writesPerS": 400, "readsPerS": 2000, "transactionTimeoutMs": 3.0, "shardWritesS": 300,
			"maxRowBytes": 65536, "crossPartition": true, "retentionS": 20, "maxBlobBytes": 8388608, "blobLatencyMs": 25.0, "blobMbS": 80.0,
		},
	})
	if err != nil {
		return err
	}
	g.settings = filepath.Join(l.dir, g.Name+".json")
	if err := os.WriteFile(g.settings, data, 0o600); err != nil {
		return err
	}
	if g.log, err = os.Create(filepath.Join(l.dir, g.Name+".log")); err != nil {
		return err
	}
	l.Gateways = append(l.Gateways, g)
	return g.Start()
}

// Start starts the process.
func (g *Gateway) Start() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	cmd := exec.Command("target/kingcup-gateway")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), fleet.SettingsVariable + "=" + g.settings}
	cmd.Stdout, cmd.Stderr = g.log, g.log
	// The process ends with this one, also if this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(cmd, g.core); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.cmd, g.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

// Kill kills the process and waits for its end.
func (g *Gateway) Kill() {
	g.Signal(syscall.SIGCONT)
	g.Signal(syscall.SIGKILL)
	<-g.Exited()
}

// Exited returns a channel that is closed when the process has ended.
func (g *Gateway) Exited() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.exited
}

// Signal sends a signal to the process.
func (g *Gateway) Signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cmd.Process.Signal(s)
}

// AwaitReady waits until all gateways say that they are ready.
func (l *Lab) AwaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, g := range l.Gateways {
		for !g.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (g *Gateway) isReady() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get("http://" + g.Ready + "/kingcupplank/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// Names of the configuration.
const (
	Host         = "app.example"
	ModelService = "pool"
	DeskService  = "desk"
	Key          = "key-1"
	PlanPath     = "/plan/"
	CheckPath    = "/check/"
	OncePath     = "/once/"
	SafePath     = "/safe/"
)

// Configure writes the configuration, with the kinds of requests of the site of the cases.
func (l *Lab) Configure(version int) {
	route := func(name, prefix, kind, service string, timeoutMs, targetMs, attempts int, resume bool) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "type": kind, "service": service, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
			"maxAttempts": attempts, "priority": 1, "public": false, "sessionAffinity": kind == "streaming", "streamResume": resume, "itlTargetMs": 180,
		}
	}
	planAttempts := 1
	if l.ResumablePlans {
		planAttempts = 2
	}
	l.Store.Put("op", "config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("plan", PlanPath, "streaming", ModelService, 39000, 1800, planAttempts, l.ResumablePlans),
			route("check", CheckPath, "streaming", ModelService, 6000, 1500, 2, true),
			route("once", OncePath, "unsafe", DeskService, l.DeskTimeoutMs, l.DeskTargetMs, 2, false),
			route("safe", SafePath, "safe", DeskService, l.DeskTimeoutMs, l.DeskTargetMs, 2, false),
		},
		"services": []map[string]any{
			{"name": ModelService, "healthPath": "/healthz", "maxConnections": 272, "protocol": "h1", "tls": false, "inferenceEngine": map[string]any{
				"slots": Slots, "kvCapacityTokens": KVCapacity, "kvTokenBytes": KVTokenBytes, "bandwidthMbps": KVLinkMbps, "migrations": true, "replicas": true,
				"increment": 4, "most": 12, "pinDurationMs": 4000.0, "holdDurationMs": 2000.0, "kvTtlS": 5.0, "models": []map[string]any{{"name": "m"}},
			}},
			{"name": DeskService, "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": MaxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "team-1", "apiKeys": []string{Key}}},
	})
}

// MemoryMB is the memory of a gateway's VM in MB.
const MemoryMB = 134

// MaxBody is the size in bytes up to which clients may send bodies.
const MaxBody = 4194304

// Slots and memory of a model server, as on the sheet of the site of the cases.
const (
	Slots        = 24
	KVCapacity   = 34419
	KVTokenBytes = 18432
	KVLinkMbps   = 2700.0
)
