#!/bin/sh
# The stand-ins of the cases use the standard library only; this checks that they compile.
set -e
cd "$(dirname "$0")/.."
python3 - review/common/*.py review/[1-5]/case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    compile(open(path, encoding="utf-8").read(), path, "exec")
CHECK
