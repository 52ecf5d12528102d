// Command kingcup-standin runs small stand-ins for the platform and for backend
// servers, for tests and local runs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/standin"
	"kingcupplank.example/kingcup/internal/standin/engines"
	"kingcupplank.example/kingcup/internal/standin/services"
	"kingcupplank.example/kingcup/internal/standin/tables"
	"kingcupplank.example/kingcup/vmlist"
)

func main() {
	s := settings.New("kingcup-standin", "stand-ins for the platform, model engines and plain services")
	kind := s.Choice("kind", "table", []string{"table", "engine", "service"}, "what to stand in for")
	address := s.Address("address", "", "address to serve on", true)
	s.Group("Table")
	objectAddress := s.Address("object-address", "", "address of the object store and fault switches", false)
	vms := s.List("vms", "", "VM list: name=role:address:failure-domain[:model+model], separated by commas")
	s.Group("Engine")
	tokenInterval := s.Duration("step", 20*time.Millisecond, time.Millisecond, time.Minute, "time between two tokens")
	memory := s.Int("memory", 100000, 1, 1<<30, "memory in tokens")
	resumes := s.Bool("resumes", true, "continue a generation from a prefix")
	checksTerm := s.Bool("checks-term", true, "refuse orders with an old fencing number")
	retain := s.Duration("retain", 30*time.Second, 0, time.Hour, "how long a stream outlives its reader")
	models := s.List("models", "", "models loaded at start, separated by commas")
	s.MustParse()

	var servers standin.Servers
	var err error
	switch *kind {
	case "table":
		err = serveTable(&servers, *address, *objectAddress, vms())
	case "engine":
		e := engines.New(engines.Config{
			Step: *tokenInterval, Memory: uint64(*memory), Resumes: *resumes, ChecksTerm: *checksTerm,
			Retain: *retain, Models: models(), Nonce: uint64(os.Getpid()),
		})
		_, err = servers.ServeEngine(e, *address)
	case "service":
		_, err = servers.ServeService(services.New(), *address)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "kingcup-standin:", err)
		os.Exit(1)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
}

// serveTable serves the table service, the object store and a VM list of the given items. An
// empty objectAddress selects any free port on loopback.
func serveTable(servers *standin.Servers, address, objectAddress string, vms []string) error {
	t := tables.New()
	for _, item := range vms {
		vm, err := parseVM(item)
		if err != nil {
			return err
		}
		t.PutVM(vm)
	}
	if objectAddress == "" {
		objectAddress = "127.0.0.1:0"
	}
	_, _, err := servers.ServeTable(t, address, objectAddress)
	return err
}

// parseVM parses an item of the VM list: name=role:ip:port:failure-domain[:model+model].
func parseVM(item string) (vmlist.VM, error) {
	const minParts = 4
	name, rest, ok := strings.Cut(item, "=")
	parts := strings.Split(rest, ":")
	if !ok || len(parts) < minParts {
		return vmlist.VM{}, errors.Errorf("-vms: invalid value %q: want name=role:ip:port:failure-domain[:model+model]", item)
	}
	vm := vmlist.VM{
		Name: name, Role: vmlist.Role(parts[0]), Address: parts[1] + ":" + parts[2], FailureDomain: parts[3],
	}
	if len(parts) > minParts {
		vm.Models = strings.Split(parts[4], "+")
	}
	return vm, nil
}
