package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"kingcupplank.example/kingcup/conf"
	"kingcupplank.example/kingcup/failure"
	"kingcupplank.example/kingcup/internal/link"
	innerv1 "kingcupplank.example/kingcup/proto/kingcup/inner/v1"
	kingcupv1 "kingcupplank.example/kingcup/proto/kingcup/v1"
	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/vmlist"
)

// maxApplyAttempts bounds the attempts to commit a change without an expected
// version. Such a change is retried when another change was committed first.
const maxApplyAttempts = 8

// Apply implements OperatorService.
func (e *Entry) Apply(ctx context.Context, req *kingcupv1.ApplyRequest) (*kingcupv1.ApplyResponse, error) {
	if len(req.GetPuts())+len(req.GetDeletes()) == 0 {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "empty change")
	}
	changeID := req.GetChangeId()
	if changeID == "" {
		changeID = newID()
	}
	var err error
	for range maxApplyAttempts {
		var resp *kingcupv1.ApplyResponse
		resp, err = e.applyOnce(ctx, req, changeID)
		if err == nil {
			return resp, nil
		}
		var conflict *conf.ConflictError
		if req.GetExpectedVersion() != 0 || !errors.As(err, &conflict) {
			break
		}
	}
	return nil, applyError(err)
}

// applyOnce validates and commits a change on top of the expected version, or of
// the latest version if the request names none, and propagates it.
func (e *Entry) applyOnce(ctx context.Context, req *kingcupv1.ApplyRequest, changeID string) (*kingcupv1.ApplyResponse, error) {
	if err := e.store.CatchUp(ctx, e.sync.Replica()); err != nil {
		return nil, err
	}
	state := e.sync.Replica().State()
	base := req.GetExpectedVersion()
	if base == 0 {
		base = state.Version()
	}
	delta := &kingcupv1.Delta{Version: base + 1, ChangeId: changeID, Puts: req.GetPuts(), Deletes: req.GetDeletes()}
	if base == state.Version() {
		next, err := state.WithDelta(delta)
		if err == nil {
			err = next.Validate()
		}
		if err != nil {
			return nil, err
		}
	}
	if err := e.store.Commit(ctx, delta); err != nil {
		return nil, err
	}
	e.sync.Replica().Apply(delta)
	e.saveSnapshotIfDue(ctx)
	return e.propagate(ctx, delta.GetVersion()), nil
}

// applyError turns an error of applyOnce into a *failure.Error for the operator.
func applyError(err error) error {
	var conflict *conf.ConflictError
	switch {
	case errors.As(err, &conflict):
		return failure.NotRun(kingcupv1.Reason_REASON_CONFLICT, 0, "%v", err)
	case errors.Is(err, conf.ErrInvalid), errors.Is(err, conf.ErrGap):
		return failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "%v", err)
	case errors.Is(err, storage.ErrUnavailable):
		return failure.NotRun(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, storeRetryAfter, "%v", err)
	}
	return failure.Unknown(kingcupv1.Reason_REASON_STORE_UNAVAILABLE, storeRetryAfter, "%v", err)
}

// saveSnapshotIfDue writes a snapshot of the configuration to the object store
// every conf.VersionsPerSnapshot versions and deletes the deltas that it
// replaces. A starting process then reads one object and few deltas.
func (e *Entry) saveSnapshotIfDue(ctx context.Context) {
	state := e.sync.Replica().State()
	if state.Version()%conf.VersionsPerSnapshot != 0 {
		return
	}
	if err := e.store.SaveSnapshot(ctx, state); err != nil {
		e.log.WithError(err).Warn("failed to write the configuration snapshot")
		return
	}
	if err := e.store.Prune(ctx, state.Version()); err != nil {
		e.log.WithError(err).Warn("failed to delete old configuration deltas")
	}
}

// witnessDomains is the number of failure domains that must have a change before
// the response reports it as spread.
const witnessDomains = 2

// propagate pushes the version to all watched peers and waits until witnesses in
// enough failure domains have it, at most for Config.PropagationTimeout.
//
// If an entry accepted a change and crashed while the store is unavailable, no
// process could read the change. With a witness in a second failure domain, a
// peer can still forward the change after the loss of any one domain.
func (e *Entry) propagate(ctx context.Context, version uint64) *kingcupv1.ApplyResponse {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.PropagationTimeout)
	defer cancel()
	links := e.links.All()
	updated := make(chan *link.Link, len(links))
	for _, l := range links {
		go func() {
			if v, ok := l.Push(); ok && v >= version {
				updated <- l
			}
		}()
	}
	domains := map[string]bool{e.cfg.Identity.FailureDomain: true}
	resp := &kingcupv1.ApplyResponse{Version: version, Witnesses: []string{e.cfg.Identity.Name}}
	for len(domains) < witnessDomains {
		select {
		case l := <-updated:
			domains[l.Status().Peer.FailureDomain] = true
			resp.Witnesses = append(resp.Witnesses, l.Status().Peer.Name)
		case <-ctx.Done():
			return resp
		}
	}
	resp.Spread = true
	return resp
}

// List implements OperatorService.
func (e *Entry) List(_ context.Context, req *kingcupv1.ListRequest) (*kingcupv1.ListResponse, error) {
	state := e.sync.Replica().State()
	return &kingcupv1.ListResponse{Version: state.Version(), Rows: state.Rows(req.GetKind())}, nil
}

// Watch implements OperatorService.
func (e *Entry) Watch(req *kingcupv1.WatchRequest, out kingcupv1.OperatorService_WatchServer) error {
	sent := req.GetFromVersion()
	for {
		changed := e.sync.Replica().Changed()
		if state := e.sync.Replica().State(); state.Version() > sent {
			sent = state.Version()
			if err := out.Send(&kingcupv1.WatchResponse{Version: sent, Snapshot: state.Snapshot()}); err != nil {
				return err
			}
		}
		if e.leaving.Load() {
			return failure.Unknown(kingcupv1.Reason_REASON_LEAVING, shortRetryAfter, "entry is leaving")
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-out.Context().Done():
			return nil
		}
	}
}

// BackendServers implements OperatorService.
func (e *Entry) BackendServers(context.Context, *kingcupv1.BackendServersRequest) (*kingcupv1.BackendServersResponse, error) {
	e.mu.Lock()
	vmsByName := e.vmsByName
	e.mu.Unlock()
	resp := &kingcupv1.BackendServersResponse{ConfigVersion: e.sync.Replica().Version()}
	for _, name := range slices.Sorted(maps.Keys(vmsByName)) {
		vm := vmsByName[name]
		if vm.Role != vmlist.RoleAgent {
			continue
		}
		resp.Servers = append(resp.Servers, e.describeServer(vm))
	}
	return resp, nil
}

// describeServer combines what the VM list and the last heartbeat say about a
// backend server.
func (e *Entry) describeServer(vm vmlist.VM) *kingcupv1.BackendServer {
	out := &kingcupv1.BackendServer{
		Name: vm.Name, Address: vm.Address, FailureDomain: vm.FailureDomain, Models: vm.Models, Leaving: vm.Leaving,
	}
	l := e.links.Get(vm.Name)
	if l == nil {
		return out
	}
	st := l.Status()
	hb := st.Heartbeat
	out.Connected = st.Connected
	out.HeartbeatAgeMs = uint64(st.HeartbeatAge.Milliseconds())
	if hb == nil {
		return out
	}
	out.Models = hb.GetModels()
	out.Leaving = out.Leaving || hb.GetLeaving()
	out.ConfigVersion = hb.GetConfigVersion()
	out.Running, out.Queued = hb.GetLoad().GetRunning(), hb.GetLoad().GetQueued()
	out.MemoryUsed, out.MemoryCapacity = hb.GetLoad().GetMemoryUsed(), hb.GetLoad().GetMemoryCapacity()
	out.Preemptions = hb.GetLoad().GetPreemptions()
	return out
}

// Drain implements OperatorService.
func (e *Entry) Drain(ctx context.Context, req *kingcupv1.DrainRequest) (*kingcupv1.DrainResponse, error) {
	reply, err := e.requestAgent(ctx, req.GetBackendServer(), &innerv1.Open{Kind: &innerv1.Open_Leave{Leave: &innerv1.Leave{}}})
	if err != nil {
		return nil, err
	}
	return &kingcupv1.DrainResponse{InProgress: reply.GetDone().GetInProgress()}, nil
}

// Order implements OperatorService. It sends the order under a lease. The agent
// rejects an order whose lease term is older than one it has seen.
func (e *Entry) Order(ctx context.Context, req *kingcupv1.OrderRequest) (*kingcupv1.OrderResponse, error) {
	if req.GetVerb() == kingcupv1.OrderVerb_ORDER_VERB_UNSPECIFIED || req.GetModel() == "" {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_INVALID, 0, "an order needs a verb and a model")
	}
	name := OrderLeaseName(req.GetBackendServer())
	acquired, err := e.leases.Acquire(ctx, name)
	if err != nil {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_CONFLICT, storeRetryAfter, "%v", err)
	}
	defer e.leases.Release(context.WithoutCancel(ctx), name, acquired)
	now := time.Now()
	if !acquired.Valid(now) {
		return nil, failure.NotRun(kingcupv1.Reason_REASON_FENCED, 0, "lease has lapsed")
	}
	order := &innerv1.Order{Term: acquired.Term, DeadlineMs: uint64(acquired.Deadline.Sub(now).Milliseconds()), Request: req}
	if _, err := e.requestAgent(ctx, req.GetBackendServer(), &innerv1.Open{Kind: &innerv1.Open_Order{Order: order}}); err != nil {
		return nil, err
	}
	return &kingcupv1.OrderResponse{Term: acquired.Term, Outcome: kingcupv1.Outcome_OUTCOME_ANSWERED}, nil
}

// OrderLeaseName returns the name of the lease that an order to a backend server
// requires.
func OrderLeaseName(server string) string {
	return "order/" + server
}

// requestAgent sends one request to an agent and returns its reply.
func (e *Entry) requestAgent(ctx context.Context, server string, open *innerv1.Open) (*innerv1.Reply, error) {
	st, wasSent, err := e.openStream(ctx, server, open)
	if err != nil {
		return nil, noResponseError(wasSent, err)
	}
	defer st.close()
	st.SetReadDeadline(time.Now().Add(defaultCallTimeout))
	reply := &innerv1.Reply{}
	if err := st.Recv(reply); err != nil {
		return nil, noResponseError(true, err)
	}
	if fail := reply.GetFailure(); fail != nil {
		return nil, failure.FromProto(fail)
	}
	return reply, nil
}
