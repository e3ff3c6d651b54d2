# What the deploy file's `build` and `run` do, and what .ci/run checks, one step at a time.
PYTHON ?= .venv/bin/python
CONFIG ?= example/config.json

.PHONY: build test lint run example-servers example-client sites clean

KIT ?= ../given/kit

build: .venv/stamp

.venv/stamp: pyproject.toml requirements.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -e '.[dev]'
	touch $@

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check .
	.venv/bin/ruff format --check .
	.venv/bin/mypy

run: build
	GW_CONFIG=$(CONFIG) $(PYTHON) -m linnetshift

example-servers: build
	$(PYTHON) example/toy_server.py

example-client: build
	$(PYTHON) example/toy_client.py

# What the kit wants beside each site file; it stays the kit's, and is not committed.
sites:
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt

clean:
	rm -rf .venv .ci-venv .mypy_cache .ruff_cache .pytest_cache *.egg-info
