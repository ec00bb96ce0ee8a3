.PHONY: build run test lint format generate measure-control

build:
	go build -o bin/ ./cmd/... ./test/standin

run:
	bash test/run.sh

test:
	go test ./...

lint: bin/golangci-lint
	bin/golangci-lint run ./...

format: bin/golangci-lint
	bin/golangci-lint fmt ./...

bin/golangci-lint: tools/tools.env
	. tools/tools.env && GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$$GOLANGCI_LINT_VERSION

# The generated code is committed; a test compares the recorded hash of its
# source, so that CI needs no generator.
generate:
	protoc --go_out=. --go_opt=paths=source_relative api/peerpb/peer.proto
	sha256sum < api/peerpb/peer.proto | cut -d ' ' -f 1 > api/peerpb/peer.proto.sha256

# Control traffic of whole fleets in virtual time; SIZE picks one of them.
measure-control:
	go run ./internal/measure/control -size "$(SIZE)"
