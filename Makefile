.PHONY: build demo test lint run

build:
	cargo build --release --locked

# Two sites and six gateways, of which a cache, a link and a site are lost; under 90 s, and ends with the report's path.
demo: build
	cargo build --release --locked -p sagearch-lab
	target/release/sagearch-lab run crates/lab/scenarios/demo.kdl

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# NODE_CONFIG names the configuration: see README.md.
run: build
	exec target/release/sagearch serve

# What a site needs beside it is the kit's: linked in, and not ours to commit.
KIT = ../given/kit/more/mass/other
.PHONY: sites
sites:
	for file in real.json wire.json unlock.txt; do ln -sf "$$(realpath $(KIT))/$$file" deploy/sites/$$file; done
