#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, without a network. If the
# project's own program isn't built yet, it is built with the line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/burlmill ]; then
  sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)"
fi
mkdir -p target/review
cd review
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -o ../target/review/ ./cmd/...
