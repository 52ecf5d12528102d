package backends
import ("testing";"fmt";"time")
func TestSweep(t *testing.T) {
	for _, mem := range []int{26880,18000,15000} {
	for _, engines := range []int{40, 16} {
		for _, sh := range []bool{true,false} {
		for _, k := range []bool{false,true} {
		l := newRolesLoad(engines)
		l.memory=mem
		l.kinds, l.moves,l.shifted = k,k,sh
		l.run(4, 120*time.Second).log(t, fmt.Sprint(mem," ", engines, sh,k))
		}
	}}}
}
