# Tasks of this project. `make test` is what CI calls, with PYTHON set to its own environment's.
PYTHON ?= .venv/bin/python

.PHONY: build tools dev test lint run sites soak tier tier-packages
build: .venv
.venv: requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt
	touch .venv

tools: .venv
	.venv/bin/pip -q install -r requirements-tools.txt

dev: .venv
	.venv/bin/pip -q install -r requirements-dev.txt

# The tests of crowds measure processes: one at a time, after all others. RESULTS: a folder for the results.
test: $(if $(filter .venv/%,$(PYTHON)),dev)
	tests=0; $(PYTHON) -m pytest --ignore=tests/crowds $(if $(RESULTS),--junitxml=$(RESULTS)/tests.xml) || tests=$$?; \
	$(PYTHON) -m pytest -n 0 tests/crowds $(if $(RESULTS),--junitxml=$(RESULTS)/crowds.xml) || tests=$$?; \
	exit $$tests

lint: $(if $(filter .venv/%,$(PYTHON)),dev)
	$(PYTHON) -m ruff format --check --no-cache .
	$(PYTHON) -m ruff check --no-cache .
	$(PYTHON) -c "from importlinter.cli import lint_imports_command; lint_imports_command(['--no-cache'])"
	$(PYTHON) -m mypy --cache-dir=/dev/null

# One seed of the soak of the serving tier, a minute or two; `python -m bench.soak --help` for more.
SOAK_SEED ?= 1
soak: $(if $(filter .venv/%,$(PYTHON)),dev)
	$(PYTHON) -m bench.soak --seeds $(SOAK_SEED) --seconds 30 --keep $${TMPDIR:-/tmp}/cherrycove-soak-kept

run: build
	export RELAY_CONFIG=$${RELAY_CONFIG:-examples/config.json}; exec $(PYTHON) -m cherrycove

# The serving tier, small, on loopback: its daemons as real processes, one stream and one batch job through them.
tier-packages: .venv
	.venv/bin/pip -q install -r requirements-tier.txt

tier: $(if $(filter .venv/%,$(PYTHON)),tier-packages)
	$(PYTHON) -m examples.tier

# The bench wants its own files beside a site; they stay where they are and are not kept here.
KIT ?= ../given/kit
sites:
	@test -d $(KIT)/sites || { echo "make sites: no kit at $(KIT) (KIT names its folder)" >&2; exit 1; }
	for site in deploy/sites/*/; do ln -sfn $(abspath $(KIT))/sites/real.json $(abspath $(KIT))/sites/wire.json \
		$(abspath $(KIT))/sites/unlock.txt $$site || exit 1; done

# Generated modules of the internal protocol are committed; this makes them anew (needs grpcio-tools).
.PHONY: protocol
protocol:
	$(PYTHON) -m grpc_tools.protoc -I . --python_out=. --pyi_out=. cherrycove/tier/protocol/*.proto
