#!/bin/sh
# Regenerates the Go code of the operators' schema. Needs protoc (Debian's
# protobuf-compiler); the two plugins are pinned in go.mod.
set -eu
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --connect-go_out=. --connect-go_opt=paths=source_relative \
  protocol/operator/v1/operator.proto
