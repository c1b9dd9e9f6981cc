# Targets that a contributor needs; .ci/run calls `make check`.
GO ?= go

.PHONY: build test fmt vet lint duplicates generate generated names spec check

build:
	$(GO) build -o bin/ ./cmd/...

# test runs every test except those that KNOWN-RED.txt names, then prints those.
test:
	bash scripts/test.sh

fmt:
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "run gofmt -w on:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# duplicates fails where the same logic stands in two places.
duplicates:
	$(GO) run ./internal/duplicate/cmd/duplicate

generate:
	bash scripts/generate.sh

# generated fails when the committed generated code differs from what the sources give.
generated: generate
	git diff --exit-code -- internal/peerpb internal/fleetpb

# names fails when a name that leaves the process is gone from the sources.
names:
	bash scripts/outer-names.sh

# spec model-checks the replication protocol and its mutations with spin.
spec:
	bash spec/check.sh

check: fmt vet lint duplicates generated names test spec

.PHONY: capacity
# capacity measures the pure cores and writes the raw figures of docs/CAPACITY.md.
capacity:
	$(GO) run ./internal/capacity/cmd/capacity --out docs/capacity
