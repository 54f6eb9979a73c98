# Every target works from a fresh clone once `make build` has run.
VENV ?= .dev-venv
# Empty: the platform's front alone.
# Packages in the formatter's style; older ones keep theirs until they are taken over.
FORMATTED = benchmarks/guards benchmarks/soak benchmarks/control_state benchmarks/jobs.py arrowfold/node arrowfold/explain benchmarks/rounds arrowfold/internal arrowfold/selection arrowfold/programs $(wildcard arrowfold/configuration arrowfold/storage arrowfold/replication arrowfold/registry arrowfold/placement arrowfold/market arrowfold/controlplane arrowfold/dataplane arrowfold/emulator tests/system)
EDGE = deploy/edge.kdl
export PATH := $(CURDIR)/$(VENV)/bin:$(PATH)

build:
	test -x $(VENV)/bin/python || python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'

lint:
	ruff check .
	ruff format --check $(FORMATTED)
	mypy

test:
	python -m pytest -n 4

# Without EDGE_CONFIG: an example node among stand-ins, which end with it.
run:
	trap '' HUP; test -n "$$EDGE_CONFIG" || { \
		export EDGE_CONFIG=deploy/settings.json; arrowfold standins $$EDGE_CONFIG & }; \
	exec python -m arrowfold $(if $(EDGE),run $(EDGE))

try:
	arrowfold try

check:
	arrowfold check $(EDGE)

capacity:
	$(VENV)/bin/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev,benchmarks]'
	python -m benchmarks.capacity run
	python -m benchmarks.capacity tables

benchmark:
	$(VENV)/bin/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev,benchmarks]'
	python -m pytest benchmarks -q --benchmark-only

.PHONY: build lint test run try check capacity benchmark
