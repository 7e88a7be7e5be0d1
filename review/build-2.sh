#!/bin/sh
# Builds what the scripts of the second review (review/4 to review/8) start: their stand-ins are Python files and use the
# standard library of Python 3.11 or later only, so they are compiled here and nothing else is built.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"'
python3 -m py_compile lib-2/*.py [4-8]/case.py
