// Package tableclient implements storage.Table and vmlist.Lister with the gRPC client of the table
// service.
package tableclient

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
	"kingcupplank.example/kingcup/storage"
	"kingcupplank.example/kingcup/vmlist"
)

// Client is a client of one table service. It is safe for concurrent use.
type Client struct {
	rpc platformv1.TableServiceClient
}

// New returns a client that uses conn. The caller must close conn.
func New(conn grpc.ClientConnInterface) *Client {
	return &Client{rpc: platformv1.NewTableServiceClient(conn)}
}

// Commit implements storage.Table.
func (c *Client) Commit(ctx context.Context, txn storage.Txn) (uint64, error) {
	req := &platformv1.CommitRequest{}
	for _, cond := range txn.Conditions {
		req.Conditions = append(req.Conditions, &platformv1.Condition{Key: cond.Key, Revision: cond.Revision})
	}
	for _, w := range txn.Writes {
		req.Writes = append(req.Writes, &platformv1.Write{Key: w.Key, Value: w.Value, Delete: w.Delete})
	}
	resp, err := c.rpc.Commit(ctx, req)
	if err != nil {
		return 0, commitError(err)
	}
	if !resp.GetCommitted() {
		return 0, &storage.ConflictError{Keys: resp.GetConflicts()}
	}
	return resp.GetRevision(), nil
}

// commitError returns an error that says whether a failed commit was rejected or has an unknown
// outcome. The service returns ResourceExhausted before it executes a commit. Any other status can
// occur after the commit was applied.
func commitError(err error) error {
	if status.Code(err) == codes.ResourceExhausted {
		return errors.Wrap(storage.ErrUnavailable, err.Error())
	}
	return errors.Wrap(storage.ErrOutcomeUnknown, err.Error())
}

// Read implements storage.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]storage.Row, error) {
	resp, err := c.rpc.Read(ctx, &platformv1.ReadRequest{Keys: keys})
	if err != nil {
		return nil, errors.Wrap(storage.ErrUnavailable, err.Error())
	}
	return rows(resp.GetRows()), nil
}

// Scan implements storage.Table.
func (c *Client) Scan(ctx context.Context, prefix string) ([]storage.Row, error) {
	resp, err := c.rpc.Scan(ctx, &platformv1.ScanRequest{Prefix: prefix})
	if err != nil {
		return nil, errors.Wrap(storage.ErrUnavailable, err.Error())
	}
	return rows(resp.GetRows()), nil
}

// rows converts rows of the protocol.
func rows(in []*platformv1.TableRow) []storage.Row {
	out := make([]storage.Row, 0, len(in))
	for _, r := range in {
		out = append(out, storage.Row{Key: r.GetKey(), Value: r.GetValue(), Revision: r.GetRevision()})
	}
	return out
}

// ListVMs implements vmlist.Lister.
func (c *Client) ListVMs(ctx context.Context) ([]vmlist.VM, error) {
	resp, err := c.rpc.ListVms(ctx, &platformv1.ListVmsRequest{})
	if err != nil {
		return nil, errors.Wrap(storage.ErrUnavailable, err.Error())
	}
	out := make([]vmlist.VM, 0, len(resp.GetVms()))
	for _, v := range resp.GetVms() {
		out = append(out, vmlist.VM{
			Name:          v.GetName(),
			Address:       v.GetAddress(),
			FailureDomain: v.GetFailureDomain(),
			Leaving:       v.GetLeaving(),
			Role:          vmlist.Role(v.GetRole()),
			Models:        v.GetModels(),
		})
	}
	return out, nil
}
