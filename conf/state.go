// Package conf is the versioned configuration: teams, models, adapters and
// priorities. Each change raises the version by one. A State is the configuration
// at one version; a Replica is the copy that a process uses; a Store commits
// changes to the platform's table.
package conf

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
)

// Errors of the configuration.
var (
	// ErrGap means that a delta does not follow the current version.
	ErrGap = errors.New("delta does not follow the version in force")
	// ErrInvalid means that a row is invalid or refers to a missing row.
	ErrInvalid = errors.New("invalid change")
)

// Key identifies a row.
type Key struct {
	Kind kingcupv1.RowKind
	Name string
}

// State is the configuration at one version. It is immutable and therefore safe for
// concurrent use.
type State struct {
	version  uint64
	changeID string
	rows     map[Key]*kingcupv1.Row
}

// EmptyState returns version 0, which has no rows.
func EmptyState() *State {
	return &State{rows: map[Key]*kingcupv1.Row{}}
}

// Version returns the version of the state.
func (s *State) Version() uint64 { return s.version }

// ChangeID returns the id of the change that made this version.
func (s *State) ChangeID() string { return s.changeID }

// Team returns the team with a name, or nil.
func (s *State) Team(name string) *kingcupv1.Team {
	return s.rows[Key{kingcupv1.RowKind_ROW_KIND_TEAM, name}].GetTeam()
}

// Model returns the model or service with a name, or nil.
func (s *State) Model(name string) *kingcupv1.Model {
	return s.rows[Key{kingcupv1.RowKind_ROW_KIND_MODEL, name}].GetModel()
}

// Adapter returns the adapter with a name, or nil.
func (s *State) Adapter(name string) *kingcupv1.Adapter {
	return s.rows[Key{kingcupv1.RowKind_ROW_KIND_ADAPTER, name}].GetAdapter()
}

// PriorityLevel returns the level of a team's priority; the default is 0.
func (s *State) PriorityLevel(t *kingcupv1.Team) uint32 {
	return s.rows[Key{kingcupv1.RowKind_ROW_KIND_PRIORITY, t.GetPriority()}].GetPriority().GetLevel()
}

// Rows returns the rows of a kind, sorted by name. ROW_KIND_UNSPECIFIED selects all
// kinds.
func (s *State) Rows(kind kingcupv1.RowKind) []*kingcupv1.Row {
	keys := make([]Key, 0, len(s.rows))
	for k := range s.rows {
		if kind == kingcupv1.RowKind_ROW_KIND_UNSPECIFIED || k.Kind == kind {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, compareKeys)
	out := make([]*kingcupv1.Row, len(keys))
	for i, k := range keys {
		out[i] = s.rows[k]
	}
	return out
}

func compareKeys(a, b Key) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	if a.Name < b.Name {
		return -1
	}
	if a.Name > b.Name {
		return 1
	}
	return 0
}

// Snapshot returns the wire form of the state.
func (s *State) Snapshot() *kingcupv1.Snapshot {
	return &kingcupv1.Snapshot{
		Version:  s.version,
		ChangeId: s.changeID,
		Rows:     s.Rows(kingcupv1.RowKind_ROW_KIND_UNSPECIFIED),
	}
}

// FromSnapshot returns the state of a snapshot. It ignores rows without a key.
func FromSnapshot(snap *kingcupv1.Snapshot) *State {
	s := &State{version: snap.GetVersion(), changeID: snap.GetChangeId(), rows: make(map[Key]*kingcupv1.Row, len(snap.GetRows()))}
	for _, r := range snap.GetRows() {
		if k, err := RowKey(r); err == nil {
			s.rows[k] = r
		}
	}
	return s
}

// RowKey returns the key of a row, or ErrInvalid if the row has no name.
func RowKey(r *kingcupv1.Row) (Key, error) {
	var k Key
	switch row := r.GetRow().(type) {
	case *kingcupv1.Row_Team:
		k = Key{kingcupv1.RowKind_ROW_KIND_TEAM, row.Team.GetName()}
	case *kingcupv1.Row_Model:
		k = Key{kingcupv1.RowKind_ROW_KIND_MODEL, row.Model.GetName()}
	case *kingcupv1.Row_Adapter:
		k = Key{kingcupv1.RowKind_ROW_KIND_ADAPTER, row.Adapter.GetName()}
	case *kingcupv1.Row_Priority:
		k = Key{kingcupv1.RowKind_ROW_KIND_PRIORITY, row.Priority.GetName()}
	}
	if k.Name == "" {
		return Key{}, errors.Wrap(ErrInvalid, "row without a name")
	}
	return k, nil
}

// WithDelta returns the state after d is applied. It returns ErrGap unless d has the
// version after that of s.
func (s *State) WithDelta(d *kingcupv1.Delta) (*State, error) {
	if d.GetVersion() != s.version+1 {
		return nil, errors.Wrapf(ErrGap, "delta %d after version %d", d.GetVersion(), s.version)
	}
	next := &State{version: d.GetVersion(), changeID: d.GetChangeId(), rows: maps.Clone(s.rows)}
	for _, r := range d.GetPuts() {
		k, err := RowKey(r)
		if err != nil {
			return nil, err
		}
		next.rows[k] = r
	}
	for _, k := range d.GetDeletes() {
		delete(next.rows, Key{k.GetKind(), k.GetName()})
	}
	return next, nil
}

// Validate returns ErrInvalid if a row refers to a missing row or has an invalid
// value.
func (s *State) Validate() error {
	for _, r := range s.rows {
		if err := s.validateRow(r); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) validateRow(r *kingcupv1.Row) error {
	if a := r.GetAdapter(); a != nil && s.Model(a.GetModel()) == nil {
		return errors.Wrapf(ErrInvalid, "adapter %q: model %q does not exist", a.GetName(), a.GetModel())
	}
	if m := r.GetModel(); m != nil && m.GetKind() == kingcupv1.ModelKind_MODEL_KIND_UNSPECIFIED {
		return errors.Wrapf(ErrInvalid, "model %q: kind is not set", m.GetName())
	}
	t := r.GetTeam()
	if t == nil {
		return nil
	}
	if t.GetWeight() == 0 {
		return errors.Wrapf(ErrInvalid, "team %q: weight must be at least 1", t.GetName())
	}
	if p := t.GetPriority(); p != "" && s.rows[Key{kingcupv1.RowKind_ROW_KIND_PRIORITY, p}] == nil {
		return errors.Wrapf(ErrInvalid, "team %q: priority %q does not exist", t.GetName(), p)
	}
	for _, m := range t.GetModels() {
		if s.Model(m) == nil {
			return errors.Wrapf(ErrInvalid, "team %q: model %q does not exist", t.GetName(), m)
		}
	}
	return nil
}
