// Package standin serves stand-ins for the platform and for backend servers on
// real sockets.
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

const maxMessageBytes = 8 << 20

// Servers is a set of running stand-ins.
type Servers struct {
	wg      sync.WaitGroup
	closers []func()
}

// Close stops all stand-ins and waits until they have stopped.
func (s *Servers) Close() {
	for _, c := range s.closers {
		c()
	}
	s.wg.Wait()
}

// ServeTable serves the table service and the VM list over gRPC and the object
// store over HTTP. It returns both addresses.
func (s *Servers) ServeTable(t *tables.Table, address, httpAddress string) (string, string, error) {
	rpcAddress, err := s.serveGRPC(address, func(g *grpc.Server) { platformv1.RegisterTableServiceServer(g, &tables.Server{Table: t}) })
	if err != nil {
		return "", "", err
	}
	boundHTTP, err := s.serveHTTP(httpAddress, t.HTTP())
	return rpcAddress, boundHTTP, err
}

// ServeEngine serves a model engine and returns its address.
func (s *Servers) ServeEngine(e engine.Engine, address string) (string, error) {
	return s.serveGRPC(address, func(g *grpc.Server) { platformv1.RegisterEngineServiceServer(g, &engines.Server{Engine: e}) })
}

// ServeService serves a plain service and returns its address.
func (s *Servers) ServeService(svc *services.Service, address string) (string, error) {
	return s.serveHTTP(address, svc.HTTP)
}

func (s *Servers) serveGRPC(address string, register func(*grpc.Server)) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	g := grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes))
	register(g)
	s.wg.Go(func() { g.Serve(l) })
	s.closers = append(s.closers, g.Stop)
	return l.Addr().String(), nil
}

func (s *Servers) serveHTTP(address string, h fasthttp.RequestHandler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &fasthttp.Server{Handler: h}
	s.wg.Go(func() { srv.Serve(l) })
	s.closers = append(s.closers, func() { srv.Shutdown() })
	return l.Addr().String(), nil
}

// FreeAddress returns a loopback address on which nothing listens now. A VM list
// needs addresses before anything listens on them.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free address")
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// portCount counts the ports that this process has assigned.
var portCount atomic.Int64

// UniqueAddress returns a loopback address that no other process uses, because its
// IP address is derived from the process id. On a shared IP address, another process
// could take a free port before this process listens on it.
func UniqueAddress() string {
	const first = 20000
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid>>16&63, pid>>8&255, pid&255, first+portCount.Add(1))
}
