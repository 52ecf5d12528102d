package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newSet() (*Set, *time.Duration, *int) {
	s := New("prog", "does things")
	heartbeat := s.Duration("heartbeat", time.Second, time.Millisecond, time.Minute, "period")
	peers := s.Int("peers", 4, 0, 10, "how many")
	s.Address("inner-address", "127.0.0.1:1", "address", true)
	return s, heartbeat, peers
}

// env returns an environment lookup over values.
func env(values map[string]string) func(string) (string, bool) {
	return func(name string) (string, bool) {
		v, ok := values[name]
		return v, ok
	}
}

func TestFlagOverridesVariable(t *testing.T) {
	s, heartbeat, peers := newSet()
	_, _, errs := s.Parse([]string{"-peers", "7"}, env(map[string]string{"KINGCUP_PEERS": "9", "KINGCUP_HEARTBEAT": "2s"}))
	require.Empty(t, errs)
	require.Equal(t, 7, *peers)
	require.Equal(t, 2*time.Second, *heartbeat)
}

// Every invalid setting must be reported on one line with its flag or variable and its value.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	for _, c := range []struct {
		args []string
		env  map[string]string
		want [][]string
	}{
		{[]string{"-peers", "x", "-heartbeat", "1h", "-inner-address", "host:1"}, nil,
			[][]string{{"peers", `"x"`}, {"heartbeat", `"1h0m0s"`}, {"inner-address", `"host:1"`}}},
		{[]string{"-colour", "red"}, nil, [][]string{{"colour"}}},
		{[]string{"extra"}, nil, [][]string{{`"extra"`}}},
		{nil, map[string]string{"KINGCUP_PEERS": "many"}, [][]string{{"KINGCUP_PEERS", `"many"`}}},
		{nil, map[string]string{"KINGCUP_PEERS": "11"}, [][]string{{"peers", `"11"`}}},
	} {
		s, _, _ := newSet()
		_, _, errs := s.Parse(c.args, env(c.env))
		require.Len(t, errs, len(c.want), "%v", errs)
		for i, parts := range c.want {
			for _, part := range parts {
				require.Contains(t, errs[i].Error(), part)
			}
			require.NotContains(t, errs[i].Error(), "\n")
		}
	}
}

func TestHelpShowsGroupsAndVariables(t *testing.T) {
	s, _, _ := newSet()
	help, _, errs := s.Parse([]string{"-help"}, env(nil))
	require.True(t, help)
	require.Empty(t, errs)
	var out strings.Builder
	s.Help(&out)
	require.Contains(t, out.String(), "General:")
	require.Contains(t, out.String(), "KINGCUP_INNER_ADDRESS")
}
