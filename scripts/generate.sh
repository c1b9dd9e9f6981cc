#!/usr/bin/env bash
# Generates the Go code of the messages between instances from the .proto files.
set -euo pipefail
cd "$(dirname "$0")/.."
tools="$(mktemp -d)"
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
for package in peerpb fleetpb; do
  protoc --plugin="$tools/protoc-gen-go" --go_out=. --go_opt=paths=source_relative "internal/$package"/*.proto
done
