# build: installs what a node needs; test, lint: the tests and checks that CI runs; demo: a short demonstration;
# run: starts one node with the configuration file NODE.
NODE ?= deploy/example-node.json

.PHONY: build demo test lint run clean

build:
	sh deploy/build.sh

test: .ci-venv
	.ci-venv/bin/python -m pytest

lint: .ci-venv
	.ci-venv/bin/ruff check onyxpost tests .ci deploy
	.ci-venv/bin/ruff format --check onyxpost tests .ci deploy
	.ci-venv/bin/mypy

demo: build
	@.venv/bin/python -m onyxpost.simulation.demo

run: build
	EDGE_CONFIG=$(NODE) .venv/bin/python -m onyxpost serve

.ci-venv: requirements.txt requirements-rollout.txt requirements-lab.txt requirements-dev.txt
	test -d .ci-venv || python3 -m venv .ci-venv
	.ci-venv/bin/pip -q install -r requirements-dev.txt
	touch .ci-venv

clean:
	rm -rf .venv .ci-venv .mypy_cache .ruff_cache .pytest_cache .hypothesis
