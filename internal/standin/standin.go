// Package standin serves the stand-ins for the platform and for backend
// servers on real sockets.
package standin

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"google.golang.org/grpc"

	"kingcupplank.example/kingcup/engine"
	"kingcupplank.example/kingcup/internal/standin/engines"
	"kingcupplank.example/kingcup/internal/standin/services"
	"kingcupplank.example/kingcup/internal/standin/tables"
	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
)

const maxMessage = 8 << 20

// Servers are running stand-ins.
type Servers struct {
	wg      sync.WaitGroup
	closers []func()
}

// Close ends them.
func (s *Servers) Close() {
	for _, c := range s.closers {
		c()
	}
	s.wg.Wait()
}

// ServeTable serves the table service and VM list by gRPC and the object store by
// HTTP, and returns both addresses.
func (s *Servers) ServeTable(t *tables.Table, address, httpAddress string) (string, string, error) {
	rpc, err := s.grpc(address, func(g *grpc.Server) { platformv1.RegisterTableServiceServer(g, &tables.Server{Table: t}) })
	if err != nil {
		return "", "", err
	}
	web, err := s.http(httpAddress, t.HTTP())
	return rpc, web, err
}

// ServeEngine serves a model engine and returns its address.
func (s *Servers) ServeEngine(e engine.Engine, address string) (string, error) {
	return s.grpc(address, func(g *grpc.Server) { platformv1.RegisterEngineServiceServer(g, &engines.Server{Engine: e}) })
}

// ServeService serves a plain service and returns its address.
func (s *Servers) ServeService(svc *services.Service, address string) (string, error) {
	return s.http(address, svc.HTTP)
}

func (s *Servers) grpc(address string, register func(*grpc.Server)) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessage))
	register(g)
	s.wg.Go(func() { g.Serve(l) })
	s.closers = append(s.closers, g.Stop)
	return l.Addr().String(), nil
}

func (s *Servers) http(address string, h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{Handler: h}
	s.wg.Go(func() { srv.Serve(l) })
	s.closers = append(s.closers, func() { srv.Shutdown() })
	return l.Addr().String(), nil
}

// FreeAddress finds a loopback address that nothing serves now. Lists of VMs need
// addresses before they are served.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a port")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// nextPort counts the ports that this process has given out.
var nextPort atomic.Int64

// UniqueAddress is a loopback address that nothing else serves: its IP number is made
// from the process id. A port found free on a shared address can be taken by
// another process before it is served.
func UniqueAddress() string {
	const first = 20000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, first+nextPort.Add(1))
}
