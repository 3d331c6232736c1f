# Two commands on a fresh machine: `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench capacity venv format explore

venv: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: venv
	$(BIN)/python -m zincvale.cli.main fleet demo

lint: venv
	$(BIN)/ruff format --check src tests
	$(BIN)/ruff check src tests
	$(BIN)/mypy
	$(BIN)/lint-imports

format: venv
	$(BIN)/ruff format src tests
	$(BIN)/ruff check --fix src tests

# Three processes, each with whole files: half of a small machine, the same verdict in any order.
# The crowds measure memory, and are played one at a time, apart from other load.
test: lint
	$(BIN)/python -m pytest --numprocesses 3 --dist loadfile --ignore tests/crowds
	$(BIN)/python -m pytest tests/crowds

bench: venv
	$(BIN)/python -m zincvale.cli.main bench run

capacity: venv
	$(BIN)/python -m zincvale.cli.main bench capacity

explore: venv
	$(BIN)/python -m zincvale.cli.main simulate explore --seeds 1..2000
