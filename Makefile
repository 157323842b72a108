.PHONY: demo test
WORKBENCH = .venv/bin/workbench
TOOLS = .venv-ci/bin/pytest
# Labs start a dozen processes each and judge their own lateness, so they have the machine to themselves.
LAB_TESTS = tests/test_lab_runs.py
TEST_WORKERS = $(shell n=$$(nproc); [ $$n -gt 8 ] && echo 8 || echo $$n)

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
	.venv-ci/bin/pytest -q -n $(TEST_WORKERS) --dist loadfile --ignore $(LAB_TESTS)
	.venv-ci/bin/pytest -q $(LAB_TESTS)

$(TOOLS): requirements.txt requirements-dev.txt
	python3 -m venv .venv-ci
	.venv-ci/bin/pip install -q --disable-pip-version-check --no-deps -r requirements.txt -r requirements-dev.txt
	@touch $@
