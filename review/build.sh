#!/bin/sh
# The stand-ins are Python files, which need no build; this checks that they compile.
set -e
cd "$(dirname "$0")"
for file in lib.py */case.py; do
  python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
