# Targets for developers and CI. Every target stops the processes that it starts.
GO ?= go
BIN := bin

.PHONY: build tools check format lint test models mutants demo up faults process-test client-test soak experiment bench capacity clean

build:
	@mkdir -p $(BIN)
	@CGO_ENABLED=1 $(GO) build -o $(BIN)/ ./cmd/...

format:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

lint:
	@$(GO) vet ./...
	@$(GO) tool staticcheck ./...

test:
	@GO=$(GO) scripts/test.sh

models:
	@scripts/models.sh

# Mutation tests: disables the mechanisms behind the guarantees one at a time and requires that tests fail without them.
mutants:
	@scripts/mutants.sh

# Runs a complete deployment on the loopback network for about 45 s; scripts/demo.sh lists its settings.
demo:
	@scripts/demo.sh

# Runs the same deployment without load until it is interrupted.
up:
	@DEMO_HOLD=1 scripts/demo.sh

# Measures the resource use of each process at several sizes, in 11 minutes; scripts/capacity.sh lists its settings.
capacity:
	@scripts/capacity.sh

# Fault injection into the real programs under load, one scenario after the other: SCENARIO=name runs one, LIST=1 lists
# them, KEEP=1 keeps the logs.
faults:
	@mkdir -p $(BIN)
	@$(GO) test -c -o $(BIN)/faults.test ./test/faults
	@cd test/faults && FAULTS=1 SCENARIO="$(SCENARIO)" LIST="$(LIST)" KEEP="$(KEEP)" ../../$(BIN)/faults.test -test.timeout 30m -test.run TestFaults

# Runs three short scenarios of the same table.
process-test:
	@mkdir -p $(BIN)
	@$(GO) test -c -o $(BIN)/faults.test ./test/faults
	@cd test/faults && PROCESSES=1 KEEP="$(KEEP)" ../../$(BIN)/faults.test -test.timeout 5m -test.run TestProcesses

# Sends clementine-node and clementine-gateway what clients outside the limits send, one case at a time: CASE=pattern
# selects some, as of go test -run.
client-test:
	@CLIENTS=1 $(GO) test -count=1 -timeout 15m -run "$(or $(CASE),.)" ./test/clients

# Compares policies on a deployment of the real programs: EXP is the name of a file in examples/experiments;
# scripts/experiment.sh lists the settings.
experiment:
	@EXP="$(EXP)" scripts/experiment.sh

# Benchmarks routing and placement with increasing numbers of workers and checks the targets of docs/measurements.md.
bench:
	@scripts/bench.sh

# Simulates complete deployments with faults in virtual time: SEED=n runs one seed, SEED=n MINUTES=m runs new seeds
# from n on for m minutes.
soak:
	@mkdir -p $(BIN)
	@$(GO) test -c -o $(BIN)/soak.test ./test/soak
	@cd test/soak && SEED="$(or $(SEED),$(if $(MINUTES),$(shell date +%s)))" MINUTES="$(MINUTES)" ../../$(BIN)/soak.test -test.v -test.timeout 0 -test.run 'TestSoak$$'

# Fails before the tests run if a tool is missing.
tools:
	@for t in gcc spin; do command -v $$t >/dev/null || { echo "$$t is not installed; on Debian: apt-get install gcc libc6-dev spin" >&2; exit 2; }; done

check: tools format lint test models mutants process-test client-test

clean:
	@rm -rf $(BIN) out
