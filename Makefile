# Every target installs what it needs into .venv and needs nothing else.
PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test lint format bench prove soak

.venv/.installed: pyproject.toml requirements.lock
	$(PYTHON) -m venv .venv
	$(BIN)/pip install -q --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install -q --disable-pip-version-check --no-deps -e .
	touch $@

# The program that routers run on; the deployment builds the same.
target/python: .venv/.installed deploy/build.py deploy/interpreter.c
	$(BIN)/python deploy/build.py --interpreter-only
	touch -h $@

demo: .venv/.installed target/python
	$(BIN)/python scripts/demo.py
	$(BIN)/python scripts/platform_demo.py

test: .venv/.installed target/python
	$(BIN)/python -m pytest

lint: .venv/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: .venv/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

bench: .venv/.installed
	$(BIN)/python scripts/bench.py path
	$(BIN)/python scripts/bench.py streams

soak: .venv/.installed target/python
	$(BIN)/python scripts/soak.py --minutes 5 --seed $$(date +%j%H%M)

prove: .venv/.installed
	status=0; \
	$(BIN)/python scripts/prove.py || status=1; \
	$(BIN)/python scripts/prove_processes.py --runs 20 --limit-s 150 || status=1; \
	exit $$status
