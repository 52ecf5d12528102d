// Command rig2 runs the script cases of the second review. It starts the gateway's program as the deploy file does,
// between stand-ins of the platform, its servers and its clients, and checks one rule from what clients and servers see.
package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/standin/fleet"
)

// gatewayProgram is the program that the deploy file runs, as its build leaves it.
const gatewayProgram = "target/kingcup-gateway"

// Bounds of the small deployments.
const (
	configApplyTime = 2 * time.Second
	contactWindow   = 3 * time.Second
	drainTimeout    = 2 * time.Second
)

// startTimeout is how long a gateway may take to become ready.
const startTimeout = 15 * time.Second

const (
	// errorShare is the part of the requests that a server fails with a 500 of its own: that of the workload's idempotent
	// requests.
	errorShare = 0.14
	workTime   = 30 * time.Millisecond
)

// rig is a platform with its servers and gateways.
type rig struct {
	fleet    *fleet.Fleet
	dir      string
	gateways []*gateway

	mu     sync.Mutex
	record io.Writer
	begun  time.Time
	// counts are the answers that clients got since the last noteCounts, by status, or 0 for none.
	counts map[int]int
}

// gateway is the system on one VM.
type gateway struct {
	callers, ready string
	// store is the way of this VM to the store.
	store        *fleet.Endpoint
	settingsPath string
	log          *os.File
	cmd          *exec.Cmd
	exited       chan struct{}
}

// newRig starts a platform without servers, and writes the record to a file.
func newRig(recordPath string) (*rig, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "kingcup-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{fleet: fleet.New(), dir: dir, record: record, begun: time.Now(), counts: make(map[int]int)}
	// The pages name no header with the store's era.
	r.fleet.Store.SetEra(0)
	return r, nil
}

// note writes a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%7.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// count counts an answer that a client got.
func (r *rig) count(a answer, err error) {
	if err != nil {
		a.status = 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[a.status]++
}

// noteCounts records how many requests were sent since the last time, and how they were answered.
func (r *rig) noteCounts() {
	r.mu.Lock()
	counts, sent := r.counts, 0
	r.counts = make(map[int]int)
	r.mu.Unlock()
	for _, n := range counts {
		sent += n
	}
	r.note("clients have sent %d requests since; answers by status, 0 for none: %v", sent, counts)
}

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.kill()
		g.log.Close()
	}
	r.fleet.Close()
	os.RemoveAll(r.dir)
}

// zone returns the name of the n-th zone of zoneCount.
func zone(n int) string { return fmt.Sprintf("zone-%d", n%zoneCount+1) }

// zoneCount is the number of zones.
const zoneCount = 3

// settings returns the settings of a VM at an IP address, with the figures of a small deployment.
func settings(name, zone, ip, store string) map[string]any {
	return map[string]any{
		"nodeName": name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": zone, "region": "region-1",
		"zones":             map[string]string{"zone-1": "region-1", "zone-2": "region-1", "zone-3": "region-1"},
		"listenAddrs":       map[string]string{"frontend": ip + ":8740", "ready": ip + ":8749"},
		"internalPortRange": []int{7200, 7215}, "bootstrap": true,
		"limits":              map[string]any{"cpuQuota": 0.304, "cpuCores": 1, "memoryMb": 134, "maxFds": 4100, "bandwidthMbps": 1000, "diskMb": 0},
		"heartbeatIntervalMs": 1200,
		"faultTolerance":      map[string]any{"machineFailures": 1, "zones": 0, "regionFailures": 0},
		"bounds": map[string]any{
			"contactWindowMs": contactWindow.Milliseconds(), "drainTimeoutMs": drainTimeout.Milliseconds(), "gracePeriodS": 8, "lossSlackMs": 200,
			"configApplyMs": configApplyTime.Milliseconds(), "rollbackSlackMs": 250, "partitionBoundMs": 5000, "revocationStrict": true,
			"revokeTimeoutMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryMinExtra": 58, "recoveryS": 12,
		},
		"platform": map[string]any{"address": store, "form": "table"},
	}
}

// addGateway starts a gateway on a loopback address of its own, in the next zone.
func (r *rig) addGateway() error {
	endpoint, err := r.fleet.Store.AddEndpoint()
	if err != nil {
		return err
	}
	pid, n := os.Getpid(), len(r.gateways)
	ip, name := fmt.Sprintf("127.%d.%d.%d", 128+n, pid>>8&255, pid&255), fmt.Sprintf("edge-%s-%d", zone(n), n+1)
	g := &gateway{callers: ip + ":8740", ready: ip + ":8749", store: endpoint, settingsPath: filepath.Join(r.dir, name+".json")}
	data, err := json.Marshal(settings(name, zone(n), ip, endpoint.Address))
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.settingsPath, data, 0o600); err != nil {
		return err
	}
	if g.log, err = os.Create(filepath.Join(r.dir, name+".log")); err != nil {
		return err
	}
	if err := g.start(); err != nil {
		return err
	}
	r.gateways = append(r.gateways, g)
	return nil
}

// start starts the gateway's process.
func (g *gateway) start() error {
	cmd, exited := exec.Command(gatewayProgram), make(chan struct{})
	cmd.Env = append(os.Environ(), "KINGCUPPLANK_BOOT="+g.settingsPath)
	cmd.Stdout, cmd.Stderr = g.log, g.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.cmd, g.exited = cmd, exited
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

// kill kills the gateway's process and waits for its end.
func (g *gateway) kill() {
	g.cmd.Process.Kill()
	<-g.exited
}

// addGateways starts n gateways and waits until they are ready.
func (r *rig) addGateways(n int) error {
	for range n {
		if err := r.addGateway(); err != nil {
			return err
		}
	}
	for _, g := range r.gateways {
		if err := g.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the balancer would send connections to the gateway.
func (g *gateway) awaitReady() error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + g.ready + "/kingcupplank/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the gateway does not become ready")
}
