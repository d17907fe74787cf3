# build puts both programs into bin/.
.PHONY: build
build:
	go build -o bin/ ./cmd/...

# test runs all tests, with the race detector, and the integration tests with
# real processes.
.PHONY: test
test: build
	go test -race -count=1 -timeout 20m ./...

# demo runs the Naidu mesh with one node in each zone and drains a target.
.PHONY: demo
demo: build
	bin/lugspur-lab demo -lugspur bin/lugspur -mesh examples/naidu/mesh.toml -policies examples/policies

# lint runs the formatter and the linters.
.PHONY: lint
lint:
	test -z "$$(gofmt -l $$(git ls-files '*.go'))"
	go vet ./...
	go tool staticcheck ./...
