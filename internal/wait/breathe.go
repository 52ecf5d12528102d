package wait

import "time"

// breath is the length of a pause: long enough that what has come in is looked for.
const breath = time.Millisecond

// YieldCPU lets what has waited run, within work that takes long. A long row decoded in one
// go held up all streams of a VM with a third of a core for 0.2 to 0.4 s; yielding the
// processor alone does not, as the runtime looks for what has come in on connections only
// when nothing else can run.
func YieldCPU() { time.Sleep(breath) }
