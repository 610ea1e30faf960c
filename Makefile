# Targets for maintainers; `.ci/run` uses them too. CONFIG is the configuration file of the nodo that `make run` starts;
# OUT is a folder to which `make measure-NAME` also writes its table and chart.
CARGO ?= cargo
LAB = target/release/jaspershunt-lab

.PHONY: build test soak test-known-red lint run lab demo demo-fleet measure measure-dependencies measure-capture measure-freezes measure-leases \
        measure-partial

build:
	$(CARGO) build --release --locked

# Runs all tests, like `cargo test --workspace --locked`, but ignores failures of tests listed in KNOWN-RED.txt.
test:
	CARGO="$(CARGO)" .ci/known-red

test-known-red:
	.ci/tests/known-red

lint:
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$(CONFIG) target/release/jaspershunt

lab: build
	$(CARGO) build --release --locked --package jaspershunt-lab

demo: lab
	$(LAB) demo

demo-fleet: lab
	$(LAB) demo-fleet

measure: measure-dependencies measure-capture measure-freezes measure-leases measure-partial

# Plays SEEDS seeds from SEED on, one after another; a seed takes about 5 s.
soak:
	SOAK_SEED=$(or $(SEED),1) SOAK_SEEDS=$(or $(SEEDS),50) $(CARGO) test --locked --package jaspershunt-node --test soak -- \
	    --ignored --exact soak_by_hand --nocapture

measure-dependencies: lab
	$(LAB) measure dependencies $(if $(OUT),--out $(OUT))

measure-capture: lab
	$(LAB) measure capture $(if $(OUT),--out $(OUT))

measure-freezes: lab
	$(LAB) measure freezes $(if $(OUT),--out $(OUT))

measure-leases: lab
	$(LAB) measure leases $(if $(OUT),--out $(OUT))

# Sums the results of ROUNDS rounds; one round takes about a minute.
measure-partial: lab
	$(LAB) measure partial $(if $(OUT),--out $(OUT)) $(if $(SEED),--seed $(SEED)) $(if $(ROUNDS),--rounds $(ROUNDS))
