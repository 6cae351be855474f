#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the gateway. The stand-ins of 6, 7, 9 and 10 are Python
# files under review/ (Python 3 and its standard library); 8 uses the project's own rig, which the build of the deploy
# file makes too.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or newer is needed")
for path in sorted(glob.glob("lib2/*.py") + glob.glob("[6-9]/case.py") + glob.glob("10/case.py")):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
cd ..
build="cargo build --release --locked -p violetward-gateway -p violetward-lab -p violetward-standin"
$build --offline 2>/dev/null || $build
