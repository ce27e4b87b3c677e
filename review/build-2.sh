#!/bin/sh
# Lays out the cases 4 to 8 of the second review, from case-4 to case-8, and
# checks the stand-ins that their scripts start.  These are Python, as the
# soak's (soak/world.py), and need nothing but its standard library.
#
# make check plays each folder of review/ whose name begins with a digit and
# fails if a rule is broken, so the cases get these names here, outside of git.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || { echo "no python3"; exit 2; }
for n in 4 5 6 7 8; do
	mkdir -p "$n" &&
	    cp "case-$n/claim.txt" "case-$n/play.py" "case-$n/run.sh" "$n/" &&
	    echo '*' >"$n/.gitignore" || exit 2
done
for f in world2.py case-[4-8]/play.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$f" ||
	    exit 1
done
