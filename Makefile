# Two commands a newcomer needs: `make demo` and `make test`; both set up first.

VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core settings burn wire web platform steering coordination client entry testing operators model bench
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package))
STAMP := $(VENV)/installed

.PHONY: demo test check format bench setup

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: setup
	$(BIN)/tanagercourse demo

check: setup
	$(BIN)/ruff format --check packages examples
	$(BIN)/ruff check packages examples
	$(BIN)/mypy packages examples

test: check
	$(BIN)/pytest -q -rxX

format: setup
	$(BIN)/ruff format packages examples
	$(BIN)/ruff check --fix packages examples

bench: setup
	$(BIN)/python -m tanagercourse.bench.main
