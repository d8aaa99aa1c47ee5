#!/bin/sh
# Builds the stand-ins of the review. They need nothing but the standard library of Python 3.11.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review
