.PHONY: build run test lint format

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
