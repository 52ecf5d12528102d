package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"kingcupplank.example/kingcup/prefill"
)

// Prompts of short generations go to prefill engines and those of long ones to tolerant engines. Guards against
// prompts beside streams while others have room, and against prompts that wait for as long as they would not
// without roles.
func TestPromptsGoByRoleUntilTheyWait(t *testing.T) {
	server := func(role prefill.Role, pending int) Server {
		return Server{Name: "s", Role: role, Slowness: 1, MemoryTotal: 27000, MemoryForecast: 10000, PromptPending: pending, Running: 3}
	}
	for _, tt := range []struct {
		name string
		kind prefill.Kind
		a, b Server
		want int
	}{
		{"short one to a prefill engine", prefill.KindShort, server(prefill.RolePrefill, 0), server(prefill.RoleTolerant, 0), 0},
		{"long one to a tolerant engine", prefill.KindLong, server(prefill.RolePrefill, 0), server(prefill.RoleTolerant, 0), 1},
		{"not beside streams", prefill.KindShort, server(prefill.RolePrefill, 3000), server(prefill.RoleStream, 0), 0},
		{"beside streams rather than to wait", prefill.KindShort, server(prefill.RolePrefill, 9000), server(prefill.RoleStream, 0), 1},
		{"copies not beside prompts", prefill.KindCopy, server(prefill.RolePrefill, 0), server(prefill.RoleStream, 0), 1},
		{"without regard to roles", prefill.KindOther, server(prefill.RolePrefill, 1), server(prefill.RoleStream, 0), 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &Request{Kind: tt.kind, Tokens: 3300, PromptTokens: 3000, PromptSpeed: 7000}
			require.Equal(t, tt.want, Direct().BestOf(2, r, []Server{tt.a, tt.b}, 1))
		})
	}
}

// Guards against a prompt that waits for an engine in a dip, or a slow one, while an equal engine is free.
func TestPromptsAvoidDipsAndSlowEngines(t *testing.T) {
	r := &Request{Kind: prefill.KindShort, Tokens: 2300, PromptTokens: 2200, PromptSpeed: 7000}
	servers := []Server{
		{Name: "dip", Role: prefill.RolePrefill, Slowness: 1, InDip: true},
		{Name: "slow", Role: prefill.RolePrefill, Slowness: 1.5},
		{Name: "usual", Role: prefill.RolePrefill, Slowness: 1, PromptPending: 10},
	}
	require.Equal(t, 2, Direct().BestOf(3, r, servers, 1))
	require.Equal(t, 1, Direct().BestOf(2, r, servers[:2], 1))
}

// A run is moved after its prompt. Guards against a target whose memory or link is not known.
func TestStreamTargetsAreKnown(t *testing.T) {
	r := &Request{ForStream: true, Tokens: 3300, CopySpeed: 18000}
	s := Server{Name: "s", Role: prefill.RoleStream, MemoryTotal: 27000, MemoryForecast: 10000}
	require.True(t, TakesStreams(r, &s))
	require.False(t, TakesStreams(&Request{ForStream: true, Tokens: 3300}, &s))
	s.MemoryTotal = 0
	require.False(t, TakesStreams(r, &s))
	require.True(t, TakesStreams(&Request{}, &s))
}
