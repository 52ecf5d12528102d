// Package app builds entries and agents from their options by dependency injection with
// dig. The binaries, the all-in-one program kingcup-dev and tests use it.
package app

import (
	"math"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"kingcupplank.example/kingcup/intake"
	"kingcupplank.example/kingcup/internal/settings"
	"kingcupplank.example/kingcup/internal/wire"
	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/storage/objectclient"
	"kingcupplank.example/kingcup/storage/tableclient"
	"kingcupplank.example/kingcup/vmlist"
)

// CommonOptions are the options that entries and agents share.
type CommonOptions struct {
	Name          string
	FailureDomain string
	// InnerAddress is the listen address for the system's own processes, AdminAddress that
	// for metrics, health and reports. An empty AdminAddress disables the latter.
	InnerAddress       string
	AdminAddress       string
	TableAddress       string
	ObjectAddress      string
	ConfigPollInterval time.Duration
	// ConfigStaleAfter is how long a process stays ready without a confirmed configuration.
	ConfigStaleAfter time.Duration
	DrainTimeout     time.Duration
	// MemoryBytes is the memory of the VM, MaxFiles the number of file descriptors of the process. 0 is no bound.
	MemoryBytes int64
	MaxFiles    int
	LogLevel    string
	LogFormat   string
}

// AddCommonFlags defines the flags of CommonOptions. The returned function returns the
// options; call it after the flags are parsed.
func AddCommonFlags(s *settings.Set) func() CommonOptions {
	name := s.String("name", "", "name of this VM, unique in the system", true)
	failureDomain := s.String("failure-domain", "", "failure domain of this VM", true)
	logLevel := s.Choice("log-level", "info", []string{"debug", "info", "warning", "error"}, "least severe messages to log")
	logFormat := s.Choice("log-format", "json", []string{"json", "text"}, "form of log lines")
	drainTimeout := s.Duration("drain-timeout", 30*time.Minute, 0, 24*time.Hour, "longest wait for work in progress after SIGTERM")
	s.Group("Addresses")
	innerAddress := s.Address("inner-address", "", "address for the system's own processes", true)
	adminAddress := s.Address("admin-address", "", "address for metrics, health and reports; empty for none", false)
	s.Group("Limits")
	memoryMB := s.Int("memory-mb", 0, 0, 1<<26, "memory of this VM in MB, which bounds what clients may use; 0 asks the system")
	maxFiles := s.Int("max-files", 0, 0, 1<<30, "file descriptors of this process, which bound its connections; 0 asks the system")
	s.Group("Platform")
	tableAddress := s.Address("table-address", "", "table service of the platform", true)
	objectAddress := s.Address("object-address", "", "object store of the platform", true)
	pollInterval := s.Duration("config-poll", 4*time.Second, 100*time.Millisecond, time.Minute, "mean time between looks at the configuration head")
	staleAfter := s.Duration("config-stale", 30*time.Second, time.Second, time.Hour, "longest time ready without a confirmed configuration")
	return func() CommonOptions {
		return CommonOptions{
			Name: *name, FailureDomain: *failureDomain, InnerAddress: *innerAddress, AdminAddress: *adminAddress,
			TableAddress: *tableAddress, ObjectAddress: *objectAddress, ConfigPollInterval: *pollInterval, ConfigStaleAfter: *staleAfter,
			DrainTimeout: *drainTimeout, MemoryBytes: memoryOf(*memoryMB), MaxFiles: filesOf(*maxFiles), LogLevel: *logLevel, LogFormat: *logFormat,
		}
	}
}

// memoryOf returns a number of MB in bytes, the VM's memory for 0.
func memoryOf(mb int) int64 {
	var info unix.Sysinfo_t
	if mb > 0 {
		return int64(mb) << 20
	}
	if unix.Sysinfo(&info) != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// filesOf returns n, the process's limit of file descriptors for 0.
func filesOf(n int) int {
	var limit unix.Rlimit
	if n > 0 || unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return n
	}
	return int(min(limit.Cur, math.MaxInt32))
}

const (
	// memoryLimitFraction is the part of the VM's memory near which the garbage collector works harder.
	memoryLimitFraction = 0.6
	// callerFiles and peerFiles are the parts of the file descriptors for connections of callers and of the system's own
	// processes.
	callerFiles, peerFiles = 0.5, 0.25
	// requestMemory is the part of the VM's memory that requests may hold, largeRequestMemory that for large ones.
	requestMemory, largeRequestMemory = 0.375, 0.25
)

// LimitMemory sets the memory limit of this process.
func LimitMemory(c CommonOptions) {
	if c.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(c.MemoryBytes)))
	}
}

// limits returns the limits of an address, which may use a part of the memory for requests and of the file descriptors.
func (c CommonOptions) limits(memory, files float64) intake.Limits {
	bytes := func(share float64) int64 { return int64(memory * share * float64(c.MemoryBytes)) }
	return intake.Limits{Connections: int(files * float64(c.MaxFiles)), Bytes: bytes(requestMemory), LargeBytes: bytes(largeRequestMemory)}
}

// NewLog returns a logger to standard error with the level and format of c.
func NewLog(c CommonOptions) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if level, err := logrus.ParseLevel(c.LogLevel); err == nil {
		log.SetLevel(level)
	}
	if c.LogFormat != "text" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithField("vm", c.Name).WithField("failure_domain", c.FailureDomain)
}

// Platform holds the clients of the platform's services.
type Platform struct {
	Table   storage.Table
	Objects storage.Objects
	VMs     vmlist.Lister
}

// DialPlatform returns clients for the table service and the object store at the addresses
// in c.
func DialPlatform(c CommonOptions) (Platform, error) {
	conn, err := DialGRPC(c.TableAddress)
	if err != nil {
		return Platform{}, err
	}
	table := tableclient.New(conn)
	return Platform{Table: table, Objects: objectclient.New(c.ObjectAddress), VMs: table}, nil
}

// MaxMessageBytes bounds the size of a gRPC message that is received from callers and
// engines.
const MaxMessageBytes = 8 << 20

// DialGRPC returns a connection to a gRPC server on the platform's private network, without
// TLS. The connection is established on first use.
func DialGRPC(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes)))
	return conn, errors.Wrapf(err, "connect to %s", address)
}

// Identity returns the identity that the daemon announces to its peers.
func (c CommonOptions) Identity() wire.Identity {
	return wire.Identity{Name: c.Name, FailureDomain: c.FailureDomain}
}
