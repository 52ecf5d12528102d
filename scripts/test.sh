#!/usr/bin/env bash
# Formatter, vet, linter, build and every test. KNOWN-RED.txt lists tests that
# may fail, one "TestName: ..." a line.
#
# The race detector's runtime crashes in synctest bubbles (SIGSEGV in
# runtime.(*timer).maybeRunChan, at random, more often with many timers), so the
# packages whose tests run in virtual time are tested without it, and so are those that
# decide without a goroutine and play loads of minutes. What it watches
# instead: every other package, with the whole system under load in real time
# (internal/dev), gateways with their relay, links and feeds (internal/gateway),
# and the real processes of the proofs, built with it.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l $(git ls-files '*.go' | grep -v '\.pb\.go$'))
if [ -n "$unformatted" ]; then echo "not formatted: $unformatted"; exit 1; fi
go vet ./...
mkdir -p bin
(cd tools && GOBIN="$PWD/../bin" go install honnef.co/go/tools/cmd/staticcheck)
bin/staticcheck ./...
go build -o bin/ ./cmd/...
skip='^$'
if [ -f KNOWN-RED.txt ]; then
  echo "known red, passed over:"; cat KNOWN-RED.txt
  # A subtest is named by its path: each part of it is matched as a whole.
  skip=$(cut -d: -f1 KNOWN-RED.txt | sed 's#/#$/^#g; s#.*#^&$#' | paste -sd'|')
fi
# Crowds of clients at real processes are tested one at a time, apart from other tests.
crowds='^Test(Crowd|LongestBody|RefusedBody)'
virtual='/(admission|concurrency|prefill|standby|internal/(proof|relay|follow|fleetmodel))$'
go test -race -timeout 10m -skip "$skip" $(go list ./... | grep -Ev "$virtual")
go test -count=1 -timeout 10m -skip "$skip|$crowds" $(go list ./... | grep -E "$virtual")
go test -count=1 -timeout 10m -run "$crowds" -skip "$skip" ./internal/proof
# How long a grown configuration takes is asked without the detector, which makes it eight times
# as long.
go test -count=1 -timeout 5m -run '^(TestGrownConfigurationIsInForceOnThinVMs|TestLoneVMReadsAGrownConfigurationOnce)$' -skip "$skip" ./internal/gateway
KINGCUP_PROOF_RACE=1 go test -count=1 -timeout 10m -run '^TestProcess' -skip "$skip" ./internal/proof
