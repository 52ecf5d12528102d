package fleet

import (
	"encoding/json"
	"net"
	"os"
	"strconv"

	"kingcupplank.example/kingcup/internal/standin"
)

// VMSettings is what the platform tells a gateway's process.
type VMSettings struct {
	Name string
	// Callers, Ready and Peers are the addresses that the gateway serves.
	Callers, Ready, Peers string
	Store                 string
	// RevokeMs bounds how long a removed key may work.
	RevokeMs int
	// LinkMbps is the VM's bandwidth in Mbit/s.
	LinkMbps float64
}

// NewVMSettings gives a gateway addresses of its own.
func NewVMSettings(name, store string) VMSettings {
	return VMSettings{
		Name: name, Callers: standin.UniqueAddress(), Ready: standin.UniqueAddress(), Peers: standin.UniqueAddress(),
		Store: store, RevokeMs: 5000, LinkMbps: 1000,
	}
}

// SettingsVariable names the settings file to a process.
const SettingsVariable = "KINGCUPPLANK_BOOT"

// WriteFile writes the node's settings file.
func (n VMSettings) WriteFile(path string) error {
	ip, port, err := net.SplitHostPort(n.Peers)
	if err != nil {
		return err
	}
	peers, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{
		"nodeName": n.Name, "zone": "zone-1", "ip": ip, "internalPortRange": []int{peers, peers + 1},
		"listenAddrs": map[string]string{"frontend": n.Callers, "ready": n.Ready},
		"limits":      map[string]any{"memoryMb": 128, "maxFds": 1000, "bandwidthMbps": n.LinkMbps},
		"bounds": map[string]any{
			"drainTimeoutMs": 2000, "gracePeriodS": 6, "configApplyMs": 2000, "revokeTimeoutMs": n.RevokeMs,
			"retryBudgetRatio": 0.2, "retryWindowS": 10, "retryMinExtra": 50,
		},
		"platform": map[string]string{"address": n.Store}, "heartbeatIntervalMs": 1200, "a new field": true,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}
