#!/bin/bash
# Builds what the scripts of review 2 start besides the programs: their stand-ins are Python and need the packages
# that the build of the deploy file puts into target/deps, so they are only compiled and imported once.
cd "$(dirname "$0")/.." || exit 2
set -e
python3 -m compileall -q review/stage
PYTHONPATH=target/deps:review/stage python3 -c "import stage"
