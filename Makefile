# Targets for developers and CI. Every target stops what it starts.
GO ?= go
BIN := bin
PROGRAMS := $(notdir $(wildcard cmd/*))

.PHONY: build check format lint test models demo capacity process-test clean

build:
	@mkdir -p $(BIN)
	@CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

format:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	@$(GO) vet ./...
	@$(GO) tool staticcheck ./...

test:
	@$(GO) test -race -count=1 ./...

models:
	@scripts/models.sh

# A whole deployment on the loopback network for about 45 s; scripts/demo.sh lists its settings.
demo:
	@scripts/demo.sh

# What each process costs at several sizes, for 12 minutes; scripts/capacity.sh lists its settings.
capacity:
	@scripts/capacity.sh

check: format lint test models

clean:
	@rm -rf $(BIN) out
