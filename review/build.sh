#!/bin/sh
# Builds the stand-ins that the scripts start: Python modules, which need the packages of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -c "import yaml"
python3 -m py_compile review/1/rig.py review/1/case.py
