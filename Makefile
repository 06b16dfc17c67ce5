PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format bench capacity

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/pimentobridge demo

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff check -q --fix .
	$(BIN)/ruff format -q .

test: setup
	$(BIN)/python tests/run_all.py

capacity: setup
	$(BIN)/pimentobridge bench --capacity docs/CAPACITY.md
