lint:
	ruff check .
	mypy

test:
	python -m pytest

.PHONY: lint test
