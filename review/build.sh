#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the node: stand-ins in Python 3.8 or newer,
# of its standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 8)'
PYTHONDONTWRITEBYTECODE=1 python3 - harness.py */case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
CHECK
