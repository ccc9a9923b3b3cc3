# Commands for developers and first users. See README.md.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SECONDS ?= 60
SEED ?=
SEEDS ?= 1
JOBS ?= 8
# Sums over sets depend on their order, and decisions on sums: with it a seed
# plays alike in every process.
export PYTHONHASHSEED := 0

.PHONY: run test lint format lock soak soak-own clean

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q -r requirements.lock
	$(BIN)/pip install -q --no-build-isolation --no-deps -e .
	touch $@

# Stand-ins and two instances; prints a curl line.
run: $(VENV)/.installed
	exec $(BIN)/python scripts/run_local.py

# Whole files go to one process each, as their tests share fixtures. Crowds
# come one at a time, apart from other load, as they check memory.
test: $(VENV)/.installed
	$(BIN)/python -m pytest -n $(JOBS) --dist loadfile --ignore tests/crowds
	$(BIN)/python -m pytest tests/crowds

lint: $(VENV)/.installed
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

# Gateways as processes under random faults: make soak SECONDS=20 SEED=7 SEEDS=5
soak: $(VENV)/.installed
	$(BIN)/python -m soak --seconds $(SECONDS) --seeds $(SEEDS) $(if $(SEED),--seed $(SEED))

# The same for the daemons of the product's own interface.
soak-own: $(VENV)/.installed
	$(BIN)/python scripts/soak.py --seconds $(SECONDS) $(if $(SEED),--seed $(SEED))

lock:
	$(PYTHON) -m venv build/lock
	build/lock/bin/pip install -q -r requirements.in
	build/lock/bin/pip freeze --all | grep -vi '^pip==' > requirements.lock

clean:
	rm -rf $(VENV) build run
