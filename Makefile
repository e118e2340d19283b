# Targets for developers. Building needs only Go.

.PHONY: build demo test lint generate measure

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	./scripts/demo.sh

test:
	go test -race ./...

lint:
	test -z "$$(gofmt -l .)"
	go vet ./...
	go tool staticcheck ./...

# Regenerates the protobuf code, which is committed. Needs protoc.
generate:
	go build -o bin/tools/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	PATH=$(CURDIR)/bin/tools:$$PATH protoc -I . --go_out=. --go_opt=paths=source_relative \
		--go-grpc_out=. --go-grpc_opt=paths=source_relative api/v1/*.proto

# Takes the measurements of docs/CAPACITY.md.
.PHONY: capacity
capacity:
	go run ./internal/capacity/cmd

measure:
	go run ./internal/measure/cmd

# Runs the randomised tests of the log, Raft and replicas with SEEDS seeds.
.PHONY: soak
SEEDS ?= 1000
soak:
	JACKDAWTRACK_SOAK_SEEDS=$(SEEDS) go test -timeout 60m ./pkg/wal ./pkg/raft ./pkg/replica

# Runs the soak tests of the platform's programs, with faults about 12 s and with planned
# work beside silent servers about 25 s per
# seed. Example: make platform-soak FIRST=1 SEEDS=50. EDGES=57 runs 60 processes.
.PHONY: platform-soak
FIRST ?= 1
platform-soak:
	JACKDAWTRACK_SOAK_FIRST=$(FIRST) JACKDAWTRACK_SOAK_SEEDS=$(SEEDS) JACKDAWTRACK_SOAK_EDGES=$(EDGES) go test -count=1 -timeout 600m -v ./platform/soak

# Runs the experiment of one deployment with the real binaries, about 75 s.
.PHONY: experiment
DEPLOYMENT ?= samtryck
experiment: build
	./scripts/experiment.sh $(DEPLOYMENT)
