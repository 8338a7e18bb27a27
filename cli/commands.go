// SPDX-License-Identifier: Apache-2.0

package cli

import (
	"context"
	"flag"
	"math/rand/v2"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/badgerspoke/badgerspoke/protocol/operator/v1"
	"github.com/badgerspoke/badgerspoke/protocol/operator/v1/operatorv1connect"
)

// This file defines the table of commands, their flags and their calls.

// fleetClient is the client of the operators' interface.
type fleetClient = operatorv1connect.OperatorServiceClient

var commands = []command{
	{
		name: "account create", args: []string{"NAME"}, summary: "create a client account and print its key once",
		example: "badgerspoke account create hotel-adria -share 3",
		flags:   accountFlags,
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.CreateAccount(ctx, connect.NewRequest(&operatorv1.CreateAccountRequest{
				Change: in.change, Name: in.args[0], Share: in.share, Limits: &in.limits,
			})))
		},
	},
	{
		name: "account list", summary: "list the client accounts", example: "badgerspoke account list -json",
		run: func(ctx context.Context, c fleetClient, _ *input) (proto.Message, error) {
			return responseMessage(c.ListAccounts(ctx, connect.NewRequest(&operatorv1.ListAccountsRequest{})))
		},
	},
	{
		name: "account set", args: []string{"NAME"}, summary: "change an account's share or limits",
		example: "badgerspoke account set hotel-adria -share 5 -max-waiting 200",
		flags:   accountFlags,
		run:     setAccount,
	},
	{
		name: "account rotate-key", args: []string{"NAME"}, summary: "give an account a new key and print it once",
		example: "badgerspoke account rotate-key hotel-adria -keep-old",
		flags: func(fs *flag.FlagSet, in *input) {
			changeFlags(fs, in)
			fs.BoolVar(&in.keepOld, "keep-old", false, "keep the earlier keys valid until they are revoked")
		},
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.RotateKey(ctx, connect.NewRequest(&operatorv1.RotateKeyRequest{
				Change: in.change, Name: in.args[0], KeepOld: in.keepOld,
			})))
		},
	},
	{
		name: "account revoke-key", args: []string{"NAME", "HASH"}, summary: "revoke one key, given its hash as printed by account list",
		example: "badgerspoke account revoke-key hotel-adria 2bb80d537b1d", flags: changeFlags,
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.RevokeKey(ctx, connect.NewRequest(&operatorv1.RevokeKeyRequest{
				Change: in.change, Name: in.args[0], KeyHash: in.args[1],
			})))
		},
	},
	{
		name: "account remove", args: []string{"NAME"}, summary: "remove an account; its waiting requests are refused",
		example: "badgerspoke account remove hotel-adria", flags: changeFlags,
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.RemoveAccount(ctx, connect.NewRequest(&operatorv1.RemoveAccountRequest{Change: in.change, Name: in.args[0]})))
		},
	},
	{
		name: "server add", args: []string{"NAME"}, summary: "add a backend server",
		example: "badgerspoke server add engine-7 -address 10.0.3.7:8000 -pool llm -slots 16 -models badger-small -mark serving",
		flags:   serverFlags, run: addServer,
	},
	{
		name: "server mark", args: []string{"NAME", "joining|serving|leaving"}, summary: "mark a backend server",
		example: "badgerspoke server mark engine-7 leaving", flags: changeFlags,
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.MarkServer(ctx, connect.NewRequest(&operatorv1.MarkServerRequest{
				Change: in.change, Name: in.args[0], Mark: parseMark(in.args[1]),
			})))
		},
	},
	{
		name: "server list", summary: "list the backend servers", example: "badgerspoke server list",
		run: func(ctx context.Context, c fleetClient, _ *input) (proto.Message, error) {
			return responseMessage(c.ListServers(ctx, connect.NewRequest(&operatorv1.ListServersRequest{})))
		},
	},
	{
		name: "server remove", args: []string{"NAME"}, summary: "remove a backend server that is not serving",
		example: "badgerspoke server remove engine-7", flags: changeFlags,
		run: func(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
			return responseMessage(c.RemoveServer(ctx, connect.NewRequest(&operatorv1.RemoveServerRequest{Change: in.change, Name: in.args[0]})))
		},
	},
	{
		name: "status", summary: "show the status of the fleet", example: "badgerspoke status",
		run: func(ctx context.Context, c fleetClient, _ *input) (proto.Message, error) {
			return responseMessage(c.GetStatus(ctx, connect.NewRequest(&operatorv1.GetStatusRequest{})))
		},
	},
	{
		name: "await", args: []string{"REVISION"}, summary: "wait until a revision is in force everywhere",
		example: "badgerspoke await 42", run: awaitRevision,
	},
}

// responseMessage returns the message of a response of any type.
func responseMessage[T any, P interface {
	*T
	proto.Message
}](resp *connect.Response[T], err error) (proto.Message, error) {
	if err != nil {
		return nil, err
	}
	return P(resp.Msg), nil
}

func changeFlags(fs *flag.FlagSet, in *input) {
	fs.StringVar(&in.change.Id, "change-id", in.change.Id, "identifier of the change; use the same one to resend a change")
	fs.Uint64Var(&in.change.BaseRevision, "base", 0, "revision on which the change is based; 0 means the current one")
}

func accountFlags(fs *flag.FlagSet, in *input) {
	changeFlags(fs, in)
	fs.Float64Var(&in.share, "share", 1, "weight relative to other accounts")
	uintFlag := func(name, usage string, set func(uint64)) {
		fs.Func(name, usage, func(v string) error {
			n, err := strconv.ParseUint(v, 10, 32)
			set(n)
			return err
		})
	}
	uintFlag("max-waiting", "waiting requests on one router", func(n uint64) { in.limits.Waiting = uint32(n) })
	uintFlag("max-waiting-bytes", "bytes of waiting requests on one router", func(n uint64) { in.limits.WaitingBytes = n })
	uintFlag("max-running", "running requests on one router", func(n uint64) { in.limits.Running = uint32(n) })
}

func serverFlags(fs *flag.FlagSet, in *input) {
	changeFlags(fs, in)
	fs.StringVar(&in.address, "address", "", "IP:PORT")
	fs.StringVar(&in.pool, "pool", "", "pool; for a plain service, its name in the path")
	fs.UintVar(&in.slots, "slots", 1, "number of requests that it runs concurrently")
	fs.StringVar(&in.kind, "kind", "engine", "engine or service")
	fs.StringVar(&in.mark, "mark", "joining", "joining or serving")
	fs.StringVar(&in.models, "models", "", "models, separated by commas")
	fs.StringVar(&in.adapters, "adapters", "", "adapters, separated by commas")
	fs.StringVar(&in.version, "version", "", "version")
	fs.BoolVar(&in.checksFence, "checks-fence", false, "the server refuses requests of an older epoch")
	fs.StringVar(&in.neverRepeat, "never-repeat", "", "calls that must not be repeated: \"METHOD /path\", separated by commas")
}

func setAccount(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
	req := &operatorv1.UpdateAccountRequest{Change: in.change, Name: in.args[0]}
	if in.set["share"] {
		req.Share = &in.share
	}
	if in.set["max-waiting"] || in.set["max-waiting-bytes"] || in.set["max-running"] {
		req.Limits = &in.limits
	}
	return responseMessage(c.UpdateAccount(ctx, connect.NewRequest(req)))
}

func addServer(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
	kind := operatorv1.Kind_KIND_ENGINE
	if in.kind == "service" {
		kind = operatorv1.Kind_KIND_SERVICE
	}
	return responseMessage(c.AddServer(ctx, connect.NewRequest(&operatorv1.AddServerRequest{Change: in.change, Server: &operatorv1.Server{
		Name: in.args[0], Pool: in.pool, Address: in.address, Kind: kind, Mark: parseMark(in.mark), Slots: uint32(in.slots),
		Models: splitList(in.models), Adapters: splitList(in.adapters), Version: in.version, ChecksFence: in.checksFence, NeverRepeat: splitList(in.neverRepeat),
	}})))
}

func awaitRevision(ctx context.Context, c fleetClient, in *input) (proto.Message, error) {
	revision, err := strconv.ParseUint(in.args[0], 10, 64)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return responseMessage(c.AwaitRevision(ctx, connect.NewRequest(&operatorv1.AwaitRevisionRequest{Revision: revision})))
}

// parseMark returns the mark with the given name. An unknown name gives the unspecified mark,
// which the fleet refuses with a reason.
func parseMark(name string) operatorv1.Mark {
	return operatorv1.Mark(operatorv1.Mark_value["MARK_"+strings.ToUpper(name)])
}

func splitList(v string) []string {
	if v == "" {
		return nil
	}
	return strings.Split(v, ",")
}

func newChangeID() string { return "cli-" + strconv.FormatUint(rand.Uint64(), 36) }
