PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install demo test bench check docs soak

$(VENV)/.installed: pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV) || python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable '.[dev]'
	touch $@

install: $(VENV)/.installed

demo: install
	$(BIN)/python -m demo

# Processes among which the tests are divided; 0 runs them one after the other.
WORKERS ?= 0

test: install
	$(BIN)/python -m pytest -q -m "not alone" -n $(WORKERS) --dist loadfile
	$(BIN)/python -m pytest -q -m alone

bench: install
	$(BIN)/python -m benchmarks

SEED ?= 1
SEEDS ?= 5

soak: install
	$(BIN)/python -m soak --seed $(SEED) --seeds $(SEEDS)

check: install
	$(BIN)/black --check --quiet pollenlb fakes demo soak tests benchmarks
	$(BIN)/isort --check --quiet pollenlb fakes demo soak tests benchmarks
	$(BIN)/flake8 pollenlb fakes demo soak tests benchmarks
	$(BIN)/pydocstyle --convention=numpy --add-ignore=D105,D107,D202,D413 pollenlb
	$(BIN)/mypy

docs: install
	$(BIN)/python -m pollenlb.settings.reference > docs/user-guide/settings.md
