.PHONY: build run test ci lint format linter gopls generate

build:
	go build -o bin/ ./cmd/... ./test/standin

run:
	bash test/run.sh

# Runs every test at its full size. The names and the output of failed tests are also kept in a file. The default time
# limit of ten minutes per package is too short for the core's tests on a busy machine.
test:
	@mkdir -p out
	go test -count=1 -timeout 40m -json ./... | tee out/test.json | go run ./tools/verdict KNOWN-RED.txt out/failures

ci:
	.ci/run

lint: linter
	bin/golangci-lint run ./...

format: linter
	bin/golangci-lint fmt ./...

# The generated code is committed. A test compares the hash of its source with the
# recorded one, so that CI needs no generator.
generate:
	protoc --go_out=. --go_opt=paths=source_relative api/peerpb/peer.proto
	sha256sum < api/peerpb/peer.proto | cut -d ' ' -f 1 > api/peerpb/peer.proto.sha256

# Installs the linter unless the pinned version is already installed.
linter:
	@. tools/tools.env && version=$${GOLANGCI_LINT_VERSION#v} && \
	{ bin/golangci-lint version 2>/dev/null | grep -qF "version $$version " || \
	GOBIN=$(CURDIR)/bin go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$$GOLANGCI_LINT_VERSION; }

# Installs the language server, which renames identifiers across the repository,
# unless the pinned version is already installed.
gopls:
	@. tools/tools.env && \
	{ bin/gopls version 2>/dev/null | grep -qF "gopls $$GOPLS_VERSION" || \
	GOBIN=$(CURDIR)/bin go install golang.org/x/tools/gopls@$$GOPLS_VERSION; }

# Compares the core's decisions with baselines and an oracle, in virtual time. It takes
# about a minute.
.PHONY: measure
measure:
	go run ./cmd/ebonymeasure --out out/measure
