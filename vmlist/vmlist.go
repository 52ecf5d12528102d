// Package vmlist describes the platform's list of VMs. The list lags behind the VMs' actual
// state and is unavailable at times. Implementations are safe for concurrent use.
package vmlist

import "context"

// Role says which program a VM runs.
type Role string

// The roles of VMs.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// VM is one virtual machine in the platform's list.
type VM struct {
	Name          string
	Address       string
	FailureDomain string
	Leaving       bool
	Role          Role
	// Models are the models and services that the VM was created for.
	Models []string
}

// Lister returns the platform's lagging list of live and leaving VMs.
type Lister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
