VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
export PYTHONPATH = src:platform:.

.PHONY: demo test lint format

demo: $(VENV)/ready
	$(BIN)/python -m magnoliaroad demo

test: $(VENV)/ready
	$(BIN)/python -m pytest

lint: $(VENV)/ready
	$(BIN)/ruff format --check src platform tests bench
	$(BIN)/ruff check src platform tests bench

format: $(VENV)/ready
	$(BIN)/ruff format src platform tests bench
	$(BIN)/ruff check --fix src platform tests bench

$(VENV)/ready: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q -r requirements.txt
	$(BIN)/python -m pip install -q --no-deps --no-build-isolation -e .
	touch $@
