#!/bin/sh
# Checks the stand-ins that the scripts start.  They are Python, as the soak's
# (soak/world.py), and need nothing but its standard library.
cd "$(dirname "$0")/.." || exit 2
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
exec python3 - soak/world.py review/cellworld.py review/*/case.py <<'EOF'
import sys, tomllib
for name in sys.argv[1:]:
    with open(name) as f:
        compile(f.read(), name, "exec")
EOF
