#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They need Python 3.11 and nothing
# else, so that there is nothing to install.
cd "$(dirname "$0")/.." || exit 1
exec python3 -c '
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for path in sorted(pathlib.Path("review/stand_ins").glob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
'
