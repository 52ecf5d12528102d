package soak

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seeds = flag.Int("soak.seeds", 1, "seeds to play")
	from  = flag.Uint64("soak.from", 1, "first seed")
	lasts = flag.Duration("soak.lasts", 5*time.Second, "time of faults in a run")
	nodes = flag.Int("soak.gateways", 3, "gateways in a run")
	keep  = flag.String("soak.keep", "", "folder for the logs of failed runs")
)

// regressions are the seeds that ever failed, each with its cause, and the kinds of faults
// that there were then: further ones would have the seed draw others.
var regressions = []struct {
	seed  uint64
	kinds int
	cause string
}{
	{9602, 19, "request that many make is held with a harmful one"},
	{9610, 19, "request that many make is held with a harmful one, and not tried"},
	{9613, 19, "request that many make is held by chance ends, and its trial is cut short"},
	{9622, 19, "request that many make explains the ends under a harmful one"},
	{9640, 21, "request that many make is in no doubt once another one is absolved"},
	{9821, 26, "zone stays empty that the stand-in's operator does not take back again after a drill"},
}

var binary = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "kingcup-soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "kingcup-gateway")
	out, err := exec.Command("go", "build", "-o", path, "kingcupplank.example/kingcup/cmd/kingcup-gateway").CombinedOutput()
	os.Stderr.Write(out)
	return path, err
})

func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if path, err := binary(); err == nil {
		os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

func play(t *testing.T, seed uint64, kinds int) {
	path, err := binary()
	require.NoError(t, err)
	dir := t.TempDir()
	res, err := Run(t.Context(), Options{Seed: seed, Kinds: kinds, Lasts: *lasts, Gateways: *nodes, Binary: path, Dir: dir})
	require.NoError(t, err)
	t.Logf("seed %d: %d faults, %d of %d requests served", seed, len(res.Faults), res.Served, res.Attempts)
	if len(res.Broken) == 0 {
		require.Positive(t, res.Served)
		return
	}
	for _, f := range res.Faults {
		t.Log(f)
	}
	for _, b := range res.Broken {
		t.Error(b)
	}
	if *keep != "" {
		require.NoError(t, os.CopyFS(filepath.Join(*keep, t.Name()), os.DirFS(dir)))
	}
}

// Gateways as real processes, harmed from outside while callers go on: each
// request that must not be repeated runs at most once, "not run" is true, every
// whole answer is its request's own, streams are in order and without gaps, a
// removed key stops working, and all is served again after the last fault.
func TestSoak(t *testing.T) {
	for i := range *seeds {
		seed := *from + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) { play(t, seed, len(faults)) })
	}
}

// Every seed that ever failed.
func TestSoakRegressions(t *testing.T) {
	for _, r := range regressions {
		t.Run(r.cause, func(t *testing.T) { play(t, r.seed, r.kinds) })
	}
}
