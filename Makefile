# Every target works from a fresh clone once `make build` has run.
PY = .venv/bin/python
EDGE = deploy/edge.toml  # empty: the platform's front alone

build:
	test -x .venv/bin/python || python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'

lint:
	ruff check .
	mypy

test:
	python -m pytest

run:
	$(PY) -m arrowfold $(EDGE)

.PHONY: build lint test run
