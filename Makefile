.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# NODE_CONFIG names the configuration: see README.md.
run: build
	exec target/release/sagearch serve
