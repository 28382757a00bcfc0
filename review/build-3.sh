#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python without dependencies, so this checks
# that the interpreter can read them. The program under test is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import glob, sys
if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for name in sorted(glob.glob("standins-3/*.py") + glob.glob("1[1-5]/*.py")):
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
    print("ok", name)
CHECK
