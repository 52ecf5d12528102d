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
	objects := s.Address("object-address", "", "address of the object store and fault switches", false)
	vms := s.List("vms", "", "VM list: name=role:address:failure-domain[:model+model], separated by commas")
	s.Group("Engine")
	step := s.Duration("step", 20*time.Millisecond, time.Millisecond, time.Minute, "time between two tokens")
	memory := s.Int("memory", 100000, 1, 1<<30, "memory in tokens")
	resumes := s.Bool("resumes", true, "continue a generation from a prefix")
	checks := s.Bool("checks-term", true, "refuse orders with an old fencing number")
	retain := s.Duration("retain", 30*time.Second, 0, time.Hour, "how long a stream outlives its reader")
	models := s.List("models", "", "models loaded at start, separated by commas")
	s.MustParse()

	var servers standin.Servers
	var err error
	switch *kind {
	case "table":
		err = serveTable(&servers, *address, *objects, vms())
	case "engine":
		e := engines.New(engines.Config{
			Step: *step, Memory: uint64(*memory), Resumes: *resumes, ChecksTerm: *checks,
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

func serveTable(servers *standin.Servers, address, objects string, vms []string) error {
	t := tables.New()
	for _, text := range vms {
		vm, err := parseVM(text)
		if err != nil {
			return err
		}
		t.PutVM(vm)
	}
	if objects == "" {
		objects = "127.0.0.1:0"
	}
	_, _, err := servers.ServeTable(t, address, objects)
	return err
}

// parseVM reads name=role:ip:port:failure-domain[:model+model].
func parseVM(text string) (vmlist.VM, error) {
	const least = 4
	name, rest, ok := strings.Cut(text, "=")
	parts := strings.Split(rest, ":")
	if !ok || len(parts) < least {
		return vmlist.VM{}, errors.Errorf("-vms: invalid value %q: want name=role:ip:port:failure-domain[:model+model]", text)
	}
	vm := vmlist.VM{
		Name: name, Role: vmlist.Role(parts[0]), Address: parts[1] + ":" + parts[2], FailureDomain: parts[3],
	}
	if len(parts) > least {
		vm.Models = strings.Split(parts[4], "+")
	}
	return vm, nil
}
