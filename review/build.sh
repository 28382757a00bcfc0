#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins are Python, which scripts/lint needs too.
set -euo pipefail
cd "$(dirname "$0")/standins"
exec python3 -m py_compile ./*.py
