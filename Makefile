# To get started, run `make demo` or `make test`; both create the virtual environment.

VENV := .venv
BIN := $(VENV)/bin
PACKAGES := core settings burn wire web platform steering routing quota gateway following instance coordination client entry testing soak diagnosis operators model bench
EDITABLE := $(foreach package,$(PACKAGES),-e packages/$(package)) -e platform
SOURCES := packages platform tests examples
STAMP := $(VENV)/installed

.PHONY: demo test check format bench soak fuzz regress setup

setup: $(STAMP)

$(STAMP): constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet -c constraints.txt -r requirements-dev.txt
# hdrhistogram has no wheel for arm64; its build declares requirements of its own, so it
# needs build isolation, which the next step turns off.
	$(BIN)/pip install --quiet -c constraints.txt hdrhistogram
	$(BIN)/pip install --quiet -c constraints.txt --no-build-isolation $(EDITABLE)
	touch $(STAMP)

demo: setup
	$(BIN)/tanagercourse demo

check: setup
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/mypy $(SOURCES)

test: check
	$(BIN)/pytest -q -rxX

format: setup
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

bench: setup
	$(BIN)/python -m tanagercourse.bench.main

# SEED=N repeats one seed; otherwise SEEDS random seeds run. LENGTH is in seconds.
SEEDS := 1
LENGTH := 20
soak: setup
	$(BIN)/python -m tanagercourse.soak.main --length $(LENGTH) $(if $(SEED),--seed $(SEED),--seeds $(SEEDS))

# Fuzzes with fresh examples for SECONDS; the first failing example is printed.
SECONDS := 60
FUZZ_TESTS := packages/gateway/tests/test_fuzz_responses.py \
    packages/gateway/tests/test_fuzz_pipelining.py \
    tests/adapter/test_fuzz.py tests/adapter/test_odd_entries.py \
    tests/adapter/test_drill_histories.py
fuzz: setup
	end=$$(($$(date +%s) + $(SECONDS))); while [ $$(date +%s) -lt $$end ]; do \
	    TANAGERCOURSE_FUZZ_FRESH=1 $(BIN)/pytest -q -x $(FUZZ_TESTS) || exit 1; \
	done

# BENCH is the platform's bench, SITES are deployments. Each score is compared with the
# newest one in journal/.
regress:
	for site in $(SITES); do $(BENCH) score $$site --quick --why "regression run" || exit 1; done
