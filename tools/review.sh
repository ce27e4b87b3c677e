#!/bin/sh
# Plays the cases of review/ with the program that deploy/system.toml builds,
# each once without its trouble and once with it, but for those that have a line
# in KNOWN-RED.txt.  Prints a line for each play; the exit status is 0 if all have
# held.
#
# The exit status of a case is not enough: a case that could not run may exit
# with that of a broken rule or, if one of its tasks ended with a traceback, with
# that of a rule that held.
cd "$(dirname "$0")/.." || exit 2
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
trap 'exit 2' INT TERM

build_command() {
	python3 -c 'import tomllib
with open("deploy/system.toml", "rb") as f:
    print(tomllib.load(f)["build"])'
}

# Lists the folders of the cases.  The later ones are named case-N and stand in
# KNOWN-RED.txt as review/N.
cases() {
	for d in review/[1-3] review/case-*; do
		grep -q "^review/${d##*[/-]}:" KNOWN-RED.txt || echo "${d#review/}"
	done
}

# play CASE TROUBLE: plays a case; its output goes to $tmp/CASE.TROUBLE.
play() {
	TROUBLE=$2 "review/$1/run.sh" >"$tmp/$1.$2" 2>"$tmp/$1.$2.err"
	echo $? >"$tmp/$1.$2.status"
}

# held FILE: whether the play has run to its end and broke no rule.
held() {
	[ "$(cat "$1.status")" = 0 ] && ! grep -q Traceback "$1" "$1.err" &&
	    grep -q '^[A-Z]* broken 0 times; [1-9][0-9]* jobs accepted; others \[\]$' "$1"
}

if ! { ./review/build.sh && command=$(build_command) && sh -c "$command"; } \
    >"$tmp/build" 2>&1; then
	tail -20 "$tmp/build"
	echo "review: could not be built"
	exit 2
fi
failed=0
for trouble in 0 1; do
	for case in $(cases); do
		play "$case" $trouble &
	done
	wait
	for case in $(cases); do
		out=$tmp/$case.$trouble
		if held "$out"; then
			result=held
		else
			result="failed, exit status $(cat "$out.status")"
			failed=$((failed + 1))
			tail -30 "$out.err"
		fi
		echo "review/$case TROUBLE=$trouble: $result: $(tail -1 "$out")"
	done
done
[ $failed -eq 0 ]
