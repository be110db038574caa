#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can run. They are Python without packages, so there is
# nothing to compile; the daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - stand2.py drain-after-cut-watch.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for name in sys.argv[1:]:
    with open(name) as file:
        compile(file.read(), name, "exec")
CHECK
