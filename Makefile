VENV := .venv
PYTHON := $(VENV)/bin/python
PACKAGES := packages/wagtailkeel-state packages/wagtailkeel-protocol \
	packages/wagtailkeel-coordination packages/wagtailkeel-transport packages/wagtailkeel platform bench
# Builds are not isolated, so that their tools are pinned too; hdrhistogram, a source package, needs pbr.
BUILD_TOOLS := setuptools pbr
SOURCES := $(addsuffix /src,$(filter-out platform,$(PACKAGES))) platform tests
SEED ?= 1
SCENARIO ?= steady-marshals
LOAD ?= surge
RUNS ?= 100

.PHONY: run test lint bench load-model soak simulate simulate-agent simulate-flows format

$(VENV)/.installed: constraints.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt $(BUILD_TOOLS)
	$(PYTHON) -m pip install --quiet --constraint constraints.txt --no-build-isolation \
		$(foreach package,$(PACKAGES),--editable $(package)) black hypothesis mypy rope ruff
	touch $@

run: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench run

test: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench test

bench: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench scenario $(SCENARIO) --seed $(SEED)

load-model: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench load-model $(LOAD) --seed $(SEED)

soak: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench soak --seed $(SEED)

simulate: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench simulate --seed $(SEED) --runs $(RUNS)

simulate-agent: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench simulate-agent --seed $(SEED) --runs $(RUNS)

simulate-flows: $(VENV)/.installed
	$(PYTHON) -m wagtailkeel_bench simulate-flows --seed $(SEED) --runs $(RUNS)

lint: $(VENV)/.installed
	$(VENV)/bin/black --check --quiet $(SOURCES)
	$(VENV)/bin/ruff check --quiet $(SOURCES)
	$(VENV)/bin/mypy $(SOURCES)

format: $(VENV)/.installed
	$(VENV)/bin/ruff check --quiet --fix $(SOURCES)
	$(VENV)/bin/black --quiet $(SOURCES)
