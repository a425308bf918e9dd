.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# make run CONFIG=path/to/config.json
run: build
	BALANCER_CONFIG=$(CONFIG) exec target/release/magpiewell-router
