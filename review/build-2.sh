#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: plain Python, compiled here to show that it can be read.
cd "$(dirname "$0")/.." && .venv/bin/python -m compileall -q review/scene.py review/6 review/7 review/8 review/9 review/10
