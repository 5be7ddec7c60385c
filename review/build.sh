#!/usr/bin/env bash
# Builds the stand-ins, which need nothing but the interpreter of the deploy file's build: compiles them.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
