#!/usr/bin/env bash
# Formatter, vet, linter, build and every test. KNOWN-RED.txt lists tests that
# may fail, one "TestName: ..." a line.
#
# Tests run with the race detector, with one exception: the runtime of the race
# detector crashes (SIGSEGV in runtime.(*timer).maybeRunChan) after some seventy
# synctest bubbles in one process. So each proof runs in a process of its own,
# and TestFaultsTogether, which needs a hundred bubbles, runs without it.
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
  skip="^($(cut -d: -f1 KNOWN-RED.txt | paste -sd'|'))\$"
fi
go test -race -timeout 10m -skip "$skip" $(go list ./... | grep -v /internal/proof)
go test -race -c -o bin/proof.test ./internal/proof
cd internal/proof
passed=0
for name in $(../../bin/proof.test -test.list '^Test' | grep -Ev "$skip" | grep -v '^TestFaultsTogether$'); do
  if ! ../../bin/proof.test -test.run "^$name\$" -test.timeout 5m > ../../bin/proof.log 2>&1; then
    cat ../../bin/proof.log; echo "$passed passed, 1 failed"; exit 1
  fi
  passed=$((passed + 1))
done
cd ../..
go test -count=1 -timeout 10m -run '^TestFaultsTogether$' -skip "$skip" ./internal/proof
echo "$((passed + 1)) passed, 0 failed"
