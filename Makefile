# Every target makes what it needs: the virtual environment comes first.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed


.PHONY: demo test lint suite fleet bench capacity vms soak clean

demo: $(STAMP)
	$(BIN)/ramppin demo

test: lint suite

$(STAMP): pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/vulture
	$(BIN)/mypy
	mkdir -p build/types && ln -sfn ../../platform build/types/ramppin_platform
	MYPYPATH=src:build/types $(BIN)/mypy --package ramppin_platform

suite: $(STAMP)
	$(BIN)/python -m features.suite

fleet: $(STAMP)
	$(BIN)/python -m standins fleet examples/coral.jsonc --routers 8

bench: $(STAMP)
	$(BIN)/python -m bench all

capacity: $(STAMP)
	$(BIN)/python -m bench capacity

vms: $(STAMP)
	$(BIN)/python -m bench vms

SECONDS ?= 600
SEED ?= 1
soak: $(STAMP)
	$(BIN)/python -m features.soak --seconds $(SECONDS) --seed $(SEED)

clean:
	rm -rf $(VENV) out
