.PHONY: demo test
WORKBENCH = .venv/bin/laurelspindle
TOOLS = .venv-ci/bin/pytest

# A first look: installs the workbench in .venv and plays a day.
demo: $(WORKBENCH)
	$(WORKBENCH) simulate restart --plot day.png
	@echo "the day is drawn in day.png"

$(WORKBENCH): pyproject.toml
	python3 -m venv .venv
	.venv/bin/pip install -q --disable-pip-version-check -e '.[workbench]'
	@touch $@

# All checks: style, types, tests, with the pinned tools in an environment of their own.
test: $(TOOLS)
	.venv-ci/bin/ruff check .
	.venv-ci/bin/ruff format --check .
	.venv-ci/bin/mypy
	.venv-ci/bin/pytest -q

$(TOOLS): requirements.txt requirements-dev.txt
	python3 -m venv .venv-ci
	.venv-ci/bin/pip install -q --disable-pip-version-check --no-deps -r requirements.txt -r requirements-dev.txt
	@touch $@
