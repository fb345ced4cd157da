#!/bin/sh
# Builds the stand-ins of cases 11 to 15: plain Python, without any package.
set -e
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import sys

sys.exit("Python 3.11 or later is needed" if sys.version_info < (3, 11) else 0)
PYTHON
python3 -m py_compile standins_3.py
