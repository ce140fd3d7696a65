#!/bin/sh
# Checks that the stand-ins of the second review can start. They are Python modules that
# need no build of their own, only the libraries of the deploy file in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:review" PYTHONDONTWRITEBYTECODE=1 exec python3 -c \
    "import common_2, harness_2, servers_2"
