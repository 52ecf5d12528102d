package fleet

import (
	"encoding/json"
	"net"
	"os"
	"strconv"
	"time"

	"kingcupplank.example/kingcup/internal/standin"
)

// The bound on retries in the settings: RetryRatio times the requests for a service and RetryExtra in each
// RetryWindow.
const (
	RetryRatio  = 0.2
	RetryExtra  = 50
	RetryWindow = 10 * time.Second
)

// VMSettings holds the settings that the platform gives to the gateway's process of a VM.
type VMSettings struct {
	Name string
	// Callers, Ready and Peers are the addresses on which the gateway serves callers,
	// readiness checks and other gateways.
	Callers, Ready, Peers string
	Store                 string
	// RevokeMs is the maximum time for which a removed key may be accepted, in milliseconds.
	RevokeMs int
	// LinkMbps is the VM's bandwidth in Mbit/s.
	LinkMbps float64
	// LostZones is the number of failure domains whose loss must be tolerated.
	LostZones int
	// GraceS is the time from SIGTERM to SIGKILL, in seconds.
	GraceS int
	// MemoryMB is the VM's memory, MaxFiles the number of file descriptors of a process.
	MemoryMB, MaxFiles int
}

// NewVMSettings returns settings with unique addresses for a gateway.
func NewVMSettings(name, store string) VMSettings {
	return VMSettings{
		Name: name, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(), Peers: standin.UniqueAddress(),
		Store: store, RevokeMs: 5000, LinkMbps: 1000, GraceS: 6, MemoryMB: 128, MaxFiles: 1000,
	}
}

// SettingsVariable is the environment variable with the path of a process's settings file.
const SettingsVariable = "KINGCUPPLANK_BOOT"

// WriteFile writes the settings file to path.
func (s VMSettings) WriteFile(path string) error {
	ip, port, err := net.SplitHostPort(s.Peers)
	if err != nil {
		return err
	}
	peers, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": s.Name, "zone": "zone-1", "ip": ip, "internalPortRange": []int{peers, peers + 1},
		"listenAddrs": map[string]string{"frontend": s.Callers, "ready": s.Ready},
		"limits":      map[string]any{"memoryMb": s.MemoryMB, "maxFds": s.MaxFiles, "bandwidthMbps": s.LinkMbps},
		"bounds": map[string]any{
			"drainTimeoutMs": 2000, "gracePeriodS": s.GraceS, "configApplyMs": 2000, "revokeTimeoutMs": s.RevokeMs,
			"retryBudgetRatio": RetryRatio, "retryWindowS": RetryWindow.Seconds(), "retryMinExtra": RetryExtra,
		},
		"platform": map[string]string{"address": s.Store}, "heartbeatIntervalMs": 1200, "a new field": true,
		"faultTolerance": map[string]any{"zones": s.LostZones},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
