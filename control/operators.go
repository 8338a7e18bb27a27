// SPDX-License-Identifier: Apache-2.0

package control

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"net/http"
	"strings"

	"connectrpc.com/connect"
	"github.com/zeebo/xxh3"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
	"github.com/badgerspoke/badgerspoke/state/config"
)

// This file defines the operators' calls that change the configuration. Calls that
// only read are in status.go, the conversion of errors is in rpcerror.go.

// Limits of operators' calls.
const (
	// maxOperatorMessage is the largest size of a request in bytes.
	maxOperatorMessage = 1 << 20
	// keyBytes is the number of random bytes in a generated key: 192 bits.
	keyBytes = 24
	// maxAttemptsWithoutBase is the number of times that a change without a base revision is
	// proposed, if each time a concurrent change is accepted first.
	maxAttemptsWithoutBase = 8
)

// OperatorHandler returns the operators' API. It serves only callers that present
// the token.
func (c *Control) OperatorHandler(token string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorv1connect.NewOperatorServiceHandler(&operators{c: c},
		connect.WithReadMaxBytes(maxOperatorMessage)))
	return requireToken(token, mux)
}

// requireToken passes requests with the bearer token on to next. It compares hashes of the
// tokens in constant time, which also hides the length of the token.
func requireToken(token string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		given := sha256.Sum256([]byte(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")))
		if subtle.ConstantTimeCompare(given[:], want[:]) != 1 {
			// Write fails only if the connection is broken, so there is no one to answer.
			_ = connect.NewErrorWriter().Write(w, r, connect.NewError(connect.CodeUnauthenticated, BadToken{}))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// operators implements the OperatorService of the schema.
type operators struct{ c *Control }

var _ operatorv1connect.OperatorServiceHandler = (*operators)(nil)

// changeRequest is a request that changes the configuration.
type changeRequest interface {
	proto.Message
	GetChange() *operatorv1.Change
}

// deriveFunc returns the operations that a request makes on the current configuration.
type deriveFunc func(cfg config.Config) ([]config.Op, error)

// change proposes the change of a request and returns the revision that it produced. For
// a resent request, that is the revision that it produced when it was first accepted.
func (o *operators) change(ctx context.Context, req changeRequest, derive deriveFunc) (uint64, error) {
	ch := req.GetChange()
	digest := requestDigest(req)
	var revision uint64
	var err error
	for range maxAttemptsWithoutBase {
		if revision, err = o.proposeChange(ctx, ch, digest, derive); err == nil {
			return revision, nil
		}
		if _, raced := err.(config.Conflict); !raced || ch.GetBaseRevision() != 0 {
			break
		}
	}
	return 0, o.c.rpcError(ch.GetId(), err)
}

// proposeChange makes one attempt to propose the change of a request, if this replica leads.
func (o *operators) proposeChange(ctx context.Context, ch *operatorv1.Change, digest uint64, derive deriveFunc) (uint64, error) {
	if err := o.c.requireLeader(); err != nil {
		return 0, err
	}
	if accepted, revision, ok := o.c.state.FindChange(ch.GetId()); ok {
		if accepted.RequestDigest != digest {
			return 0, config.ReusedID{ID: ch.GetId()}
		}
		return revision, nil
	}
	cfg := o.c.state.Config()
	proposal := config.Change{ID: ch.GetId(), Base: ch.GetBaseRevision(), RequestDigest: digest}
	if proposal.Base == 0 {
		proposal.Base = cfg.Revision()
	}
	if proposal.Base == cfg.Revision() {
		ops, err := derive(cfg)
		if err != nil {
			return 0, err
		}
		proposal.Ops = ops
	}
	// With another base, no operations can be derived. Applying the change then gives
	// the conflict or, for a resent change, the result of the first attempt.
	result, err := propose(ctx, o.c.config, command{Change: &proposal})
	if err != nil {
		return 0, err
	}
	r := result.(changeResult)
	return r.revision, r.err
}

// requestDigest returns a hash of the content of a request without the change's
// identifier and base.
func requestDigest(req changeRequest) uint64 {
	m := proto.Clone(req)
	fields := m.ProtoReflect().Descriptor().Fields()
	m.ProtoReflect().Clear(fields.ByName("change"))
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return 0 // not expected for a decoded message; without a digest the operations are compared
	}
	return xxh3.Hash(append(b, string(m.ProtoReflect().Descriptor().FullName())...)) | 1
}

func (o *operators) CreateAccount(ctx context.Context, req *connect.Request[operatorv1.CreateAccountRequest]) (*connect.Response[operatorv1.CreateAccountResponse], error) {
	key, hash, err := keyOrGenerate(req.Msg.GetKeyHash())
	if err != nil {
		return nil, o.c.rpcError("", err)
	}
	derived := false
	revision, err := o.change(ctx, req.Msg, func(cfg config.Config) ([]config.Op, error) {
		derived = true
		if _, exists := cfg.Account(req.Msg.GetName()); exists {
			return nil, invalid("account "+req.Msg.GetName(), "name", "exists already")
		}
		a := config.Account{Name: req.Msg.GetName(), Share: req.Msg.GetShare(), Limits: limitsFromProto(req.Msg.GetLimits())}.WithKey(hash)
		return []config.Op{{PutAccount: &a}}, nil
	})
	if err != nil {
		return nil, err
	}
	if !derived {
		key = "" // the request was resent, and the key in the first response was not stored
	}
	return connect.NewResponse(&operatorv1.CreateAccountResponse{Revision: revision, Key: key}), nil
}

func (o *operators) UpdateAccount(ctx context.Context, req *connect.Request[operatorv1.UpdateAccountRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return o.changeAccount(ctx, req.Msg, req.Msg.GetName(), func(a config.Account) (config.Account, error) {
		if req.Msg.Share != nil {
			a = a.WithShare(req.Msg.GetShare())
		}
		if req.Msg.Limits != nil {
			a = a.WithLimits(limitsFromProto(req.Msg.GetLimits()))
		}
		return a, nil
	})
}

func (o *operators) RotateKey(ctx context.Context, req *connect.Request[operatorv1.RotateKeyRequest]) (*connect.Response[operatorv1.RotateKeyResponse], error) {
	key, hash, err := keyOrGenerate(req.Msg.GetKeyHash())
	if err != nil {
		return nil, o.c.rpcError("", err)
	}
	derived := false
	resp, err := o.changeAccount(ctx, req.Msg, req.Msg.GetName(), func(a config.Account) (config.Account, error) {
		derived = true
		if !req.Msg.GetKeepOld() {
			a.Keys = nil
		}
		return a.WithKey(hash), nil
	})
	if err != nil {
		return nil, err
	}
	if !derived {
		key = "" // as in CreateAccount
	}
	return connect.NewResponse(&operatorv1.RotateKeyResponse{Revision: resp.Msg.GetRevision(), Key: key}), nil
}

func (o *operators) RevokeKey(ctx context.Context, req *connect.Request[operatorv1.RevokeKeyRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return o.changeAccount(ctx, req.Msg, req.Msg.GetName(), func(a config.Account) (config.Account, error) {
		for _, k := range a.Keys {
			given := req.Msg.GetKeyHash()
			if given == k.String() || given == hex.EncodeToString(k[:]) {
				return a.WithoutKey(k), nil
			}
		}
		return a, invalid("account "+a.Name, "key_hash", "the account has no such key")
	})
}

func (o *operators) RemoveAccount(ctx context.Context, req *connect.Request[operatorv1.RemoveAccountRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return changeResponse(o.change(ctx, req.Msg, func(config.Config) ([]config.Op, error) {
		return []config.Op{{RemoveAccount: req.Msg.GetName()}}, nil
	}))
}

func (o *operators) AddServer(ctx context.Context, req *connect.Request[operatorv1.AddServerRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return changeResponse(o.change(ctx, req.Msg, func(cfg config.Config) ([]config.Op, error) {
		s := serverFromProto(req.Msg.GetServer())
		if _, exists := cfg.Server(s.Name); exists {
			return nil, invalid("server "+s.Name, "name", "exists already")
		}
		return []config.Op{{PutServer: &s}}, nil
	}))
}

func (o *operators) MarkServer(ctx context.Context, req *connect.Request[operatorv1.MarkServerRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return changeResponse(o.change(ctx, req.Msg, func(cfg config.Config) ([]config.Op, error) {
		s, ok := cfg.Server(req.Msg.GetName())
		if !ok {
			return nil, invalid("server "+req.Msg.GetName(), "name", "does not exist")
		}
		s = s.WithMark(config.Mark(req.Msg.GetMark()))
		return []config.Op{{PutServer: &s}}, nil
	}))
}

func (o *operators) RemoveServer(ctx context.Context, req *connect.Request[operatorv1.RemoveServerRequest]) (*connect.Response[operatorv1.ChangeResponse], error) {
	return changeResponse(o.change(ctx, req.Msg, func(config.Config) ([]config.Op, error) {
		return []config.Op{{RemoveServer: req.Msg.GetName()}}, nil
	}))
}

// changeAccount applies edit to an existing account.
func (o *operators) changeAccount(ctx context.Context, req changeRequest, name string,
	edit func(config.Account) (config.Account, error)) (*connect.Response[operatorv1.ChangeResponse], error) {
	return changeResponse(o.change(ctx, req, func(cfg config.Config) ([]config.Op, error) {
		a, ok := cfg.Account(name)
		if !ok {
			return nil, invalid("account "+name, "name", "does not exist")
		}
		a, err := edit(a)
		return []config.Op{{PutAccount: &a}}, err
	}))
}

func changeResponse(revision uint64, err error) (*connect.Response[operatorv1.ChangeResponse], error) {
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ChangeResponse{Revision: revision}), nil
}

// keyOrGenerate returns the key hash that the operator gave, or a new key and its
// hash if given is empty.
func keyOrGenerate(given string) (key string, hash config.KeyHash, err error) {
	if given == "" {
		b := make([]byte, keyBytes)
		_, _ = rand.Read(b) // crypto/rand does not fail since Go 1.24
		key = "bsk-" + base64.RawURLEncoding.EncodeToString(b)
		return key, config.HashKey(key), nil
	}
	b, err := hex.DecodeString(given)
	if err != nil || len(b) != len(hash) {
		return "", hash, invalid("change", "key_hash", "must be a SHA-256 in hexadecimal")
	}
	copy(hash[:], b)
	return "", hash, nil
}

func invalid(subject, field, reason string) error {
	return config.Invalid{Mistakes: []config.Mistake{{Subject: subject, Field: field, Reason: reason}}}
}

func limitsFromProto(l *operatorv1.Limits) config.Limits {
	return config.Limits{
		Waiting: int(l.GetWaiting()), WaitingBytes: int64(l.GetWaitingBytes()), Running: int(l.GetRunning()),
	}
}

func serverFromProto(s *operatorv1.Server) config.Server {
	mark := config.Mark(s.GetMark())
	if mark == 0 {
		mark = config.Joining
	}
	return config.Server{
		Name: s.GetName(), Pool: s.GetPool(), Address: s.GetAddress(), Kind: config.Kind(s.GetKind()),
		Mark: mark, Slots: int(s.GetSlots()), Models: s.GetModels(), Adapters: s.GetAdapters(),
		Version: s.GetVersion(), ChecksFence: s.GetChecksFence(), NeverRepeat: s.GetNeverRepeat(),
	}
}

func serverToProto(s config.Server) *operatorv1.Server {
	return &operatorv1.Server{
		Name: s.Name, Pool: s.Pool, Address: s.Address, Kind: operatorv1.Kind(s.Kind),
		Mark: operatorv1.Mark(s.Mark), Slots: uint32(s.Slots), Models: s.Models, Adapters: s.Adapters,
		Version: s.Version, ChecksFence: s.ChecksFence, NeverRepeat: s.NeverRepeat,
	}
}

func accountToProto(a config.Account) *operatorv1.Account {
	out := &operatorv1.Account{
		Name: a.Name, Share: a.Share,
		Limits: &operatorv1.Limits{
			Waiting: uint32(a.Limits.Waiting), WaitingBytes: uint64(a.Limits.WaitingBytes), Running: uint32(a.Limits.Running),
		},
	}
	for _, k := range a.Keys {
		out.KeyHashes = append(out.KeyHashes, k.String())
	}
	return out
}
