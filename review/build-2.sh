#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start: the project's stand-ins, which are Python.
# They need the packages that the build of the deploy file puts into target/deps, and no others.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -m compileall -q standins review/common-2
PYTHONPATH=target/deps:. python3 -c "import standins.platform, standins.platform_target"
