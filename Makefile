PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test bench fleet format thrift

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation setuptools wheel
	$(BIN)/pip install -q -c constraints.txt --no-build-isolation -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/ibisknot-load run smoke

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/ibisknot-load bench

fleet: setup
	$(BIN)/ibisknot-load fleet

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs the Thrift compiler; the generated code is committed.
thrift:
	mkdir -p build/thrift
	for f in idl/*.thrift; do thrift -out build/thrift --gen py:slots $$f; done
	cp -r build/thrift/ibisknot/gen src/ibisknot/
