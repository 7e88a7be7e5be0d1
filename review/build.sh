#!/usr/bin/env bash
# Checks that the stand-ins of the scripts compile. They are Python without packages, so nothing else is to be built.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/deployment.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
