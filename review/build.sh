#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python and run in the scripts' own
# process; nothing of the project's own stand-ins is started, so compiling them is a check only.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standin/*.py [1-5]/*.py <<'END'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, "exec")
END
