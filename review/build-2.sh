#!/bin/sh
# Builds what the cases 6 to 10 start beside the deploy file's programs. Their stand-ins (common-2/*.py) are Python scripts
# without dependencies, so there is nothing to build; the check shows a missing interpreter or a syntax error at once.
cd "$(dirname "$0")" && exec python3 -B -c '
import glob
for name in sorted(glob.glob("common-2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    compile(open(name).read(), name, "exec")
'
