// Package changewire encodes configuration changes and table rows for the links between
// gateways, as compressed protobuf messages.
//
// A route as an operator writes it consists mostly of field names and of values that all
// routes share. As protobuf compressed with deflate, 1,400 routes take 19 KB, a nineteenth
// of their size in the store. Sending them takes 15 ms on a link of 10 Mbit/s, less than
// the permitted pause between two events of a stream.
package changewire

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "kingcupplank.example/kingcup/proto/kingcup/peer/v1"
	"kingcupplank.example/kingcup/routing"
)

// ErrMalformed reports that a received message can't be decoded.
var ErrMalformed = errors.New("malformed change")

// maxInflatedBytes bounds the decompressed size of a head or a part. The keys of 1,500
// teams take 0.1 MB, and 400 routes 0.05 MB.
const maxInflatedBytes = 16 << 20

// routesPerPart is the number of routes in a part. They take about 5 KB, which is 4 ms on a
// link of 10 Mbit/s, and about as long to decode on a VM with 0.144 cores.
const routesPerPart = 400

// Encode returns the head of a response that carries a change, and the parts that follow
// it. The parts can be decoded one by one. Encode calls yieldCPU after each
// part, so that other goroutines of the caller can run.
func Encode(ch *routing.Change, yieldCPU func()) (head *peerv1.Change, parts [][]byte, err error) {
	access, err := marshalCompressed(accessToProto(ch))
	if err != nil {
		return nil, nil, err
	}
	for _, routes := range splitIntoParts(ch) {
		part, err := marshalCompressed(routes)
		if err != nil {
			return nil, nil, err
		}
		parts = append(parts, part)
		yieldCPU()
	}
	return &peerv1.Change{Base: ch.Base, Version: ch.Version, Access: access, Parts: uint32(len(parts))}, parts, nil
}

// DecodeHead returns the part of a change that its head contains: versions, teams and
// keys. Errors: ErrMalformed.
func DecodeHead(head *peerv1.Change) (*routing.Change, error) {
	var access peerv1.Access
	if err := unmarshalCompressed(head.GetAccess(), &access); err != nil {
		return nil, err
	}
	ch := &routing.Change{Base: head.GetBase(), Version: head.GetVersion(), KeysRequired: access.GetKeyed(), DropTeams: access.GetDrop()}
	for _, t := range access.GetSet() {
		ch.SetTeams = append(ch.SetTeams, &routing.Team{Name: t.GetName(), Keys: t.GetKeys(), Priority: int(t.GetPriority()), HasPriority: t.GetRanked(), Regions: t.GetRegions()})
	}
	return ch, nil
}

// ApplyPart decodes a part and adds its routes, services and limits to an update. Errors:
// ErrMalformed.
func ApplyPart(u *routing.Update, part []byte) error {
	var routes peerv1.Routes
	if err := unmarshalCompressed(part, &routes); err != nil {
		return err
	}
	var drop []routing.RouteID
	for _, id := range routes.GetDrop() {
		drop = append(drop, routing.RouteID{Host: id.GetHost(), Prefix: id.GetPrefix()})
	}
	set := make([]*routing.Route, 0, len(routes.GetSet()))
	for _, r := range routes.GetSet() {
		set = append(set, routeFromProto(r))
	}
	u.Add(drop, set)
	for _, s := range routes.GetServices() {
		u.Services = append(u.Services, serviceFromProto(s))
	}
	if l := routes.GetLimits(); l != nil {
		u.Limits = routing.Limits{
			HeaderBytes: int(l.GetHeaderBytes()), BodyBytes: int(l.GetBodyBytes()),
			HeaderTimeout: time.Duration(l.GetHeaderTimeout()), IdleTimeout: time.Duration(l.GetIdleTimeout()),
		}
	}
	return nil
}

// EncodeRows returns a part of a response that contains table rows.
func EncodeRows(rows []*peerv1.Row) ([]byte, error) {
	return marshalCompressed(&peerv1.Rows{Rows: rows})
}

// DecodeRows decodes a part that contains table rows. Errors: ErrMalformed.
func DecodeRows(part []byte) ([]*peerv1.Row, error) {
	var rows peerv1.Rows
	if err := unmarshalCompressed(part, &rows); err != nil {
		return nil, err
	}
	return rows.GetRows(), nil
}

func marshalCompressed(msg proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(msg)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "deflate")
	}
	return out.Bytes(), nil
}

func unmarshalCompressed(data []byte, msg proto.Message) error {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxInflatedBytes+1))
	if err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	// A part of a message may be valid.
	if len(raw) > maxInflatedBytes {
		return errors.Wrapf(ErrMalformed, "over %d bytes", maxInflatedBytes)
	}
	if err := proto.Unmarshal(raw, msg); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	return nil
}

func accessToProto(ch *routing.Change) *peerv1.Access {
	access := &peerv1.Access{Drop: ch.DropTeams, Keyed: ch.KeysRequired}
	for _, t := range ch.SetTeams {
		access.Set = append(access.Set, &peerv1.Team{Name: t.Name, Keys: t.Keys, Priority: int32(t.Priority), Ranked: t.HasPriority, Regions: t.Regions})
	}
	return access
}

// splitIntoParts returns the parts of a change, which contain everything but its teams and
// keys: first the services and limits, then the routes to drop, then the routes to set.
func splitIntoParts(ch *routing.Change) (parts []*peerv1.Routes) {
	l := ch.Limits
	first := &peerv1.Routes{Limits: &peerv1.Limits{
		HeaderBytes: int64(l.HeaderBytes), BodyBytes: int64(l.BodyBytes),
		HeaderTimeout: int64(l.HeaderTimeout), IdleTimeout: int64(l.IdleTimeout),
	}}
	for _, s := range ch.Services {
		first.Services = append(first.Services, serviceToProto(s))
	}
	parts = append(parts, first)
	for ids := range slices.Chunk(ch.DropRoutes, routesPerPart) {
		part := &peerv1.Routes{}
		for _, id := range ids {
			part.Drop = append(part.Drop, &peerv1.RouteID{Host: id.Host, Prefix: id.Prefix})
		}
		parts = append(parts, part)
	}
	for routes := range slices.Chunk(ch.SetRoutes, routesPerPart) {
		part := &peerv1.Routes{}
		for _, r := range routes {
			part.Set = append(part.Set, routeToProto(r))
		}
		parts = append(parts, part)
	}
	return parts
}

func routeToProto(r *routing.Route) *peerv1.Route {
	out := &peerv1.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: uint32(r.Kind), Timeout: int64(r.Timeout), Target: int64(r.TargetLatency),
		MaxPause: int64(r.MaxPause), Silence: int64(r.EventTimeout), Servers: int32(r.MaxServers), Priority: int32(r.Priority),
		Public: r.Public, Resumable: r.Resumable, Regions: r.Regions,
	}
	for _, w := range r.Split {
		out.Split = append(out.Split, &peerv1.Weighted{Service: w.Service, Weight: int64(w.Weight)})
	}
	return out
}

func routeFromProto(r *peerv1.Route) *routing.Route {
	out := &routing.Route{
		Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Kind: routing.Kind(r.GetKind()),
		Timeout: time.Duration(r.GetTimeout()), TargetLatency: time.Duration(r.GetTarget()),
		MaxPause: time.Duration(r.GetMaxPause()), EventTimeout: time.Duration(r.GetSilence()),
		MaxServers: int(r.GetServers()), Priority: int(r.GetPriority()), Public: r.GetPublic(), Resumable: r.GetResumable(), Regions: r.GetRegions(),
	}
	for _, w := range r.GetSplit() {
		out.Split = append(out.Split, routing.Weighted{Service: w.GetService(), Weight: int(w.GetWeight())})
	}
	return out
}

func serviceToProto(s *routing.Service) *peerv1.Service {
	out := &peerv1.Service{Name: s.Name, MaxConns: int64(s.MaxConns), ColdTime: int64(s.ColdTime), ColdRate: s.ColdRate}
	if e := s.Engine; e != nil {
		out.Engine = &peerv1.Engine{
			Slots: int64(e.Slots), MemoryTokens: int64(e.MemoryTokens), BytesPerToken: int64(e.BytesPerToken),
			LinkMbps: e.LinkMbps, TokensPerEvent: int64(e.TokensPerEvent), Moves: e.SupportsMigration, Backups: e.SupportsStandby, CopyTtl: int64(e.CopyTTL),
		}
	}
	return out
}

func serviceFromProto(s *peerv1.Service) *routing.Service {
	out := &routing.Service{Name: s.GetName(), MaxConns: int(s.GetMaxConns()), ColdTime: time.Duration(s.GetColdTime()), ColdRate: s.GetColdRate()}
	if e := s.GetEngine(); e != nil {
		out.Engine = &routing.Engine{
			Slots: int(e.GetSlots()), MemoryTokens: int(e.GetMemoryTokens()), BytesPerToken: int(e.GetBytesPerToken()),
			LinkMbps: e.GetLinkMbps(), TokensPerEvent: int(e.GetTokensPerEvent()), SupportsMigration: e.GetMoves(), SupportsStandby: e.GetBackups(),
			CopyTTL: time.Duration(e.GetCopyTtl()),
		}
	}
	return out
}
