#!/usr/bin/env bash
# Builds the program under test, with the command of the deploy file, and the cases' stand-ins.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/shalewick-edge
for case in review/[1-3]; do
  if [ -e "$case/main.go" ]; then
    go build -o "target/review-${case##*/}" "./$case"
  fi
done
