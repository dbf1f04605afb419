#!/usr/bin/env bash
# Generates gen/ from proto/. The output is committed; run this after a change of a .proto file.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I proto --cpp_out=gen proto/*.proto
protoc -I proto --grpc_out=gen --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" proto/peer.proto
