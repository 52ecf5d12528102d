package tables

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "kingcupplank.example/kingcup/proto/kingcup/platform/v1"
	"kingcupplank.example/kingcup/storage"
)

// Server serves a Table over gRPC.
type Server struct {
	platformv1.UnimplementedTableServiceServer
	Table *Table
}

func rpcError(err error) error {
	if errors.Is(err, storage.ErrUnavailable) {
		return status.Error(codes.ResourceExhausted, "outage")
	}
	return status.Error(codes.Unavailable, err.Error())
}

// Commit implements TableService.
func (s *Server) Commit(ctx context.Context, req *platformv1.CommitRequest) (*platformv1.CommitResponse, error) {
	var txn storage.Txn
	for _, c := range req.GetConditions() {
		txn.Conditions = append(txn.Conditions, storage.Condition{Key: c.GetKey(), Revision: c.GetRevision()})
	}
	for _, w := range req.GetWrites() {
		txn.Writes = append(txn.Writes, storage.Write{Key: w.GetKey(), Value: w.GetValue(), Delete: w.GetDelete()})
	}
	rev, err := s.Table.Commit(ctx, txn)
	var conflict *storage.ConflictError
	if errors.As(err, &conflict) {
		return &platformv1.CommitResponse{Conflicts: conflict.Keys}, nil
	}
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.CommitResponse{Committed: true, Revision: rev}, nil
}

// Read implements TableService.
func (s *Server) Read(ctx context.Context, req *platformv1.ReadRequest) (*platformv1.ReadResponse, error) {
	rows, err := s.Table.Read(ctx, req.GetKeys()...)
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.ReadResponse{Rows: protoRows(rows)}, nil
}

// Scan implements TableService.
func (s *Server) Scan(ctx context.Context, req *platformv1.ScanRequest) (*platformv1.ScanResponse, error) {
	rows, err := s.Table.Scan(ctx, req.GetPrefix())
	if err != nil {
		return nil, rpcError(err)
	}
	return &platformv1.ScanResponse{Rows: protoRows(rows)}, nil
}

func protoRows(rows []storage.Row) []*platformv1.TableRow {
	out := make([]*platformv1.TableRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, &platformv1.TableRow{Key: r.Key, Value: r.Value, Revision: r.Revision})
	}
	return out
}

// ListVms implements TableService.
func (s *Server) ListVms(ctx context.Context, _ *platformv1.ListVmsRequest) (*platformv1.ListVmsResponse, error) {
	vms, err := s.Table.ListVMs(ctx)
	if err != nil {
		return nil, rpcError(err)
	}
	out := &platformv1.ListVmsResponse{}
	for _, v := range vms {
		out.Vms = append(out.Vms, &platformv1.Vm{
			Name:          v.Name,
			Address:       v.Address,
			FailureDomain: v.FailureDomain,
			Leaving:       v.Leaving,
			Role:          string(v.Role),
			Models:        v.Models,
		})
	}
	return out, nil
}
