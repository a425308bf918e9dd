.PHONY: build test lint run demo prove-limit prove-spread prove-scale lay-sites

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked
	cargo test --workspace --locked --release

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

# make run CONFIG=path/to/config.json
run: build
	BALANCER_CONFIG=$(CONFIG) exec target/release/magpiewell-router

# A router before a stand-in host, and a client that asks it.
demo: build
	target/release/magpiewell-lab demo

# make prove-limit SEED=1: what waiting clients cost, what is served beyond the processor's limit, and the control
# that is not told its limit and must fail. Some minutes, with two cores to itself.
SEED ?= 1
prove-limit: build
	target/release/magpiewell-lab limit --seed $(SEED)
	! target/release/magpiewell-lab limit --seed $(SEED) --overload --untold

# make prove-spread SEED=1: three hundred router processes and a hundred and twenty hosts with faults between them, told one
# another and not (the control), against one router that sees everything. Four minutes, with the machine to itself; the
# report is target/spread.html.
prove-spread: build
	target/release/magpiewell-lab spread --seed $(SEED) --html target/spread.html

# make prove-scale SEED=1: 300, 1,200 and 4,800 hollow routers in virtual time against the aims, then
# three hundred in twelve processes beside twelve real ones, a zone lost and back, lost datagrams, a cut, and controls
# that must fail. Six to seven minutes; the report is target/scale.html.
prove-scale: build
	target/release/magpiewell-fleet prove --seed $(SEED)
	target/release/magpiewell-lab scale --seed $(SEED) --html target/scale.html

# make lay-sites: lays what the bench reads beside a deployment next to each of the project's own under deploy/sites.
# These files are the bench's, not the project's: they are not committed.
KIT ?= ../given/kit/more/mass/other
lay-sites:
	@test -d $(KIT) || { echo "lay-sites: no folder $(KIT), which the bench's real.json, wire.json and unlock.txt come from"; exit 1; }
	@for site in deploy/sites/*/; do \
		cp $(KIT)/real.json $(KIT)/wire.json $(KIT)/unlock.txt $$site || exit 1; chmod u+w $$site/*; done
