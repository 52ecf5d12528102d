package wait

import "time"

// yieldPause is long enough that the runtime polls the network.
const yieldPause = time.Millisecond

// YieldCPU pauses a long computation so that waiting goroutines can run. Without such pauses,
// decoding a long row delayed all streams of a VM with a third of a core by 0.2 to 0.4 s.
// runtime.Gosched is not enough, because the runtime polls network connections only when no
// goroutine can run.
func YieldCPU() { time.Sleep(yieldPause) }
