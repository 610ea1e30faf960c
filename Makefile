# What a maintainer needs; `.ci/run` runs the same. CONFIG is the file that `make run` gives the nodo.
CARGO ?= cargo

.PHONY: build test lint run

build:
	$(CARGO) build --release --workspace --locked

test:
	$(CARGO) test --workspace --locked

lint:
	$(CARGO) fmt --all --check
	$(CARGO) clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$(CONFIG) target/release/jaspershunt
