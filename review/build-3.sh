#!/bin/sh
# Checks that the stand-ins and cases of the third review can be run. They are Python
# and need nothing beside the build of deploy/system.toml.
set -e
cd "$(dirname "$0")"
for file in stand_ins_3.py 1[1-5]/case.py; do
    PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../target/deps python3 -c \
        "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=../target/deps python3 -c "import aiohttp, stand_ins_3"
echo "the stand-ins can be run"
