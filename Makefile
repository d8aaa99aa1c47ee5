PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup demo test check bench soak binary capacity docs clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml requirements.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint requirements.txt --editable '.[dev]'
	touch $@

demo: setup
	$(BIN)/python -m demo

test: setup
	$(BIN)/python tools/run_tests.py

check: setup
	$(BIN)/black --check --quiet .
	$(BIN)/ruff check --quiet .
	$(BIN)/mypy --no-error-summary
	PATH="$(abspath $(BIN)):$$PATH" tools/check_generated.sh

bench: setup
	$(BIN)/python -m bench

soak: setup
	$(BIN)/python -m soak --seeds 50

capacity: setup
	$(BIN)/python -m bench.capacity

binary: setup
	$(BIN)/python tools/build_binary.py

docs: setup
	$(BIN)/python tools/settings_reference.py > docs/user-guide/settings.md

clean:
	rm -rf $(VENV) build dist *.egg-info
