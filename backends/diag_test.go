package backends

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

var diag map[string]int

func diagEvent(w *loadRun, pause, now time.Duration) {
	if diag == nil || now < loadWarmUp {
		return
	}
	k := ""
	if w.long {
		k = "long "
	} else {
		return
	}
	role, _ := w.reservation.Role()
	diag["L role "+fmt.Sprint(role)]++
	if pause > 180*time.Millisecond && w.longest <= 180*time.Millisecond {
		diag[fmt.Sprintf("%s role %d factor %.2f prompts %v dip %v moved %v moving %v first %v running %d", k, role, w.engine.factor, len(w.engine.prompts) > 0, now < w.engine.dipUntil+50*time.Millisecond, w.moved, w.moveTo != nil, w.tokens <= 24, len(w.engine.running)/4*4)]++
	}
}
func TestDiag(t *testing.T) {
	for _, mode := range []int{0, 1} {
		diag = map[string]int{}
		l := newRolesLoad(16); l.shifted = mode==0; l.kinds,l.moves=true,true
		if mode == 1 {
			l.kinds, l.moves = true, true
		}
		l.run(1, 80*time.Second).log(t, "x")
		var ks []string
		for k := range diag {
			ks = append(ks, k)
		}
		sort.Slice(ks, func(i, j int) bool { return diag[ks[i]] > diag[ks[j]] })
		for _, k := range ks {
			t.Log(diag[k], k)
		}
	}
}
