# Targets for contributors; .ci/run calls `make check`.
GO ?= go

.PHONY: build test fmt vet lint duplicates generate generated names spec check

build:
	$(GO) build -o bin/ ./cmd/...

# test runs every test except those listed in KNOWN-RED.txt, then prints that list.
test:
	bash scripts/test.sh

fmt:
	@out="$$(gofmt -l .)"; if [ -n "$$out" ]; then echo "run gofmt -w on:"; echo "$$out"; exit 1; fi

vet:
	$(GO) vet ./...

lint:
	$(GO) tool staticcheck ./...

# duplicates fails on duplicate code.
duplicates:
	$(GO) run ./internal/duplicate/cmd/duplicate

generate:
	bash scripts/generate.sh

# generated fails if the committed generated code is out of date.
generated: generate
	git diff --exit-code -- internal/peerpb internal/fleetpb

# names fails if an externally visible name no longer occurs in the sources.
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
