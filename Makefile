# SPDX-License-Identifier: MIT
# The two commands of the README, and what they need.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
DEPLOYMENT ?= skupna-pot
# Each test worker runs a small deployment of up to 16 processes.
WORKERS ?= 4
PACKAGES := saddledoor saddledoord saddledoorctl saddledoor-standins

.PHONY: demo test lint format prove soak bench traces wire

$(VENV)/.made: requirements.txt $(PACKAGES:%=packages/%/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-build-isolation \
	  --no-deps $(PACKAGES:%=-e packages/%)
	touch $@

demo: $(VENV)/.made
	@$(BIN)/python -m saddledoor_standins demo deployments/$(DEPLOYMENT).yaml

test: $(VENV)/.made
	@$(BIN)/python -m pytest -n $(WORKERS) -m "not crowd" $(PYTEST_ARGS)
	@$(BIN)/python -m pytest -m crowd $(PYTEST_ARGS)

prove: $(VENV)/.made
	@$(BIN)/python tests/prove.py -n $(WORKERS)
	@$(BIN)/python tests/guards.py

SEEDS ?= 1,2,3
SECONDS ?= 14
SERIES ?= all
soak: $(VENV)/.made
	@PYTHONPATH=tests:tests/adapter $(BIN)/python -m soak \
	  --seeds="$(SEEDS)" --seconds="$(SECONDS)" --series="$(SERIES)"
	@HISTORY_SEEDS="$(SEEDS)" $(BIN)/python -m pytest -q tests/test_log_history.py \
	  tests/test_poison_request_machine.py -k "have_the_state or no_item_is_withheld"

bench: $(VENV)/.made
	@$(BIN)/pip install --quiet --disable-pip-version-check -r requirements-plots.txt
	@$(BIN)/python -m saddledoor_standins bench all

# Records the traces anew; only after their format or a scenario changed.
traces: $(VENV)/.made
	@$(BIN)/python -m saddledoor_standins record traces

lint: $(VENV)/.made
	@$(BIN)/ruff format --check .
	@$(BIN)/ruff check .

format: $(VENV)/.made
	@$(BIN)/ruff check --fix .
	@$(BIN)/ruff format .

# Only after a change of peer.proto; needs grpcio-tools, which the build does not.
WIRE := packages/saddledoord/src/saddledoord/wire
wire: $(VENV)/.made
	$(BIN)/pip install --quiet grpcio-tools==1.85.1
	$(BIN)/python -m grpc_tools.protoc -I $(WIRE) --python_out=$(WIRE) \
	  --grpc_python_out=$(WIRE) $(WIRE)/peer.proto
	sed -i 's/^import peer_pb2/from saddledoord.wire import peer_pb2/' \
	  $(WIRE)/peer_pb2_grpc.py
