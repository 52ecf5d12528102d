package lab

import (
	"os/exec"
	"runtime"
	"syscall"
	"unsafe"
)

// cpuSet is a set of cores as the kernel takes it.
type cpuSet [16]uint64

func affinity(trap uintptr, set *cpuSet) error {
	if _, _, errno := syscall.RawSyscall(trap, 0, unsafe.Sizeof(*set), uintptr(unsafe.Pointer(set))); errno != 0 {
		return errno
	}
	return nil
}

// startOnOneCore starts a process that stays on one core, as on the platform. The process inherits the set of cores
// of the thread that starts it.
func startOnOneCore(cmd *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuSet
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return err
	}
	one[core/64] = 1 << (core % 64)
	if affinity(syscall.SYS_SCHED_SETAFFINITY, &one) == nil {
		defer affinity(syscall.SYS_SCHED_SETAFFINITY, &all)
	}
	return cmd.Start()
}
