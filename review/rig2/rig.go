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
	startTimeout    = 15 * time.Second
)

// rig is a platform with its servers and gateways.
type rig struct {
	fleet    *fleet.Fleet
	dir      string
	gateways []*gateway

	mu     sync.Mutex
	record io.Writer
	begun  time.Time
}

// gateway is the process of the system on one VM.
type gateway struct {
	callers, ready string
	cmd            *exec.Cmd
	log            *os.File
	exited         chan struct{}
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
	r := &rig{fleet: fleet.New(), dir: dir, record: record, begun: time.Now()}
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

// close ends all processes and removes the temporary folder.
func (r *rig) close() {
	for _, g := range r.gateways {
		g.cmd.Process.Kill()
		<-g.exited
		g.log.Close()
	}
	r.fleet.Close()
	os.RemoveAll(r.dir)
}

// settings returns the settings of a VM at an IP address, with the figures of a small deployment.
func settings(name, ip, store string) map[string]any {
	return map[string]any{
		"nodeName": name, "role": "gateway", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "zone-1", "region": "region-1",
		"zones":             map[string]string{"zone-1": "region-1"},
		"listenAddrs":       map[string]string{"frontend": ip + ":8740", "ready": ip + ":8749"},
		"internalPortRange": []int{7200, 7215}, "bootstrap": true,
		"limits":              map[string]any{"cpuQuota": 0.304, "cpuCores": 1, "memoryMb": 134, "maxFds": 4100, "bandwidthMbps": 1000, "diskMb": 0},
		"heartbeatIntervalMs": 1200,
		"faultTolerance":      map[string]any{"machineFailures": 1, "zones": 0, "regionFailures": 0},
		"bounds": map[string]any{
			"contactWindowMs": contactWindow.Milliseconds(), "drainTimeoutMs": 2000, "gracePeriodS": 8, "lossSlackMs": 200,
			"configApplyMs": configApplyTime.Milliseconds(), "rollbackSlackMs": 250, "partitionBoundMs": 5000, "revocationStrict": true,
			"revokeTimeoutMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryMinExtra": 58, "recoveryS": 12,
		},
		"platform": map[string]any{"address": store, "form": "table"},
	}
}

// addGateway starts a gateway on a loopback address of its own and waits until it is ready.
func (r *rig) addGateway() error {
	endpoint, err := r.fleet.Store.AddEndpoint()
	if err != nil {
		return err
	}
	pid, n := os.Getpid(), len(r.gateways)
	ip := fmt.Sprintf("127.%d.%d.%d", 128+n, pid>>8&255, pid&255)
	name := fmt.Sprintf("edge-zone-1-%d", n+1)
	path := filepath.Join(r.dir, name+".json")
	data, err := json.Marshal(settings(name, ip, endpoint.Address))
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	g := &gateway{callers: ip + ":8740", ready: ip + ":8749", exited: make(chan struct{})}
	if g.log, err = os.Create(filepath.Join(r.dir, name+".log")); err != nil {
		return err
	}
	g.cmd = exec.Command(gatewayProgram)
	g.cmd.Env = append(os.Environ(), "KINGCUPPLANK_BOOT="+path)
	g.cmd.Stdout, g.cmd.Stderr = g.log, g.log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	r.gateways = append(r.gateways, g)
	go func() {
		g.cmd.Wait()
		close(g.exited)
	}()
	return g.awaitReady()
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
