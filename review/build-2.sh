#!/bin/sh
# Checks the stand-ins that the scripts of the second review start.  They are
# Python, as the soak's (soak/world.py), and need nothing but its standard
# library.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
for f in world2.py [4-8]/play.py; do
	[ -e "$f" ] || continue
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f" ||
	    exit 1
done
