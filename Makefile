# The commands that README and CI use.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test lint bench binary lock

$(VENV)/.installed: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes --requirement requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation --editable .
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bench.demo

test: $(VENV)/.installed
	$(BIN)/python -m pytest

lint: $(VENV)/.installed
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	MYPYPATH=platform:. $(BIN)/mypy --package adapter

bench: $(VENV)/.installed
	$(BIN)/python -m bench.run

binary: $(VENV)/.installed
	PYTHONPATH=$(CURDIR) $(BIN)/pyinstaller --onefile --name pimentodrift --clean --noconfirm \
		--log-level WARN --specpath build packaging/entry_point.py \
		--collect-submodules pimentodrift --collect-submodules standins \
		--collect-submodules circuits --add-data $(CURDIR)/examples:examples
	$(BIN)/python packaging/check_binary.py

lock:
	$(BIN)/python -m piptools compile --allow-unsafe --quiet --generate-hashes --extra dev \
		--no-emit-index-url --no-emit-find-links --strip-extras \
		--output-file requirements.lock pyproject.toml
	$(BIN)/python packaging/select_requirements.py
