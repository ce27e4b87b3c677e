#!/bin/sh
# Runs all test programs of a build folder and prints a last line with the
# totals: `N passed, N failed`.  A second argument selects programs by name.
# Tests that KNOWN-RED.txt names in lines `test NAME: ...` are not run.
b=$1
pick=${2:-}
pass=0
fail=0
known_red=$(sed -n 's/^test \([^ ]*\): .*/\1/p' KNOWN-RED.txt 2>/dev/null |
    tr '\n' ':')
# The cases of review/ take minutes of waiting, so they are played beside the
# tests.  They use a build of their own: one of CI's two passes plays them.
review=
if [ -z "$pick" ] && ! grep -q '^OGL_SANITIZE:BOOL=ON' "$b/CMakeCache.txt"; then
	review=$(mktemp)
	./tools/review.sh >"$review" 2>&1 &
	review_pid=$!
fi
for t in "$b"/test_*"$pick"* "$b"/example-*"$pick"*; do
	[ -x "$t" ] && [ -f "$t" ] || continue
	case $t in
	*/test_*)
		out=$("$t" --gtest_brief=1 --gtest_filter="-$known_red" 2>&1)
		rc=$?
		p=$(printf '%s\n' "$out" |
		    sed -n 's/^\[  PASSED  \] \([0-9]*\) test.*/\1/p' | tail -1)
		f=$(printf '%s\n' "$out" |
		    grep -c '^\[  FAILED  \] .*\..*(')
		pass=$((pass + ${p:-0}))
		if [ $rc -ne 0 ]; then
			printf '%s\n' "$out" | tail -60
			[ "$f" -eq 0 ] && f=1
			fail=$((fail + f))
		fi
		printf '%s: %s passed, %s failed\n' "${t##*/}" "${p:-0}" "$f"
		;;
	*)
		if out=$("$t" 2>&1); then
			pass=$((pass + 1))
		else
			printf '%s\n' "$out" | tail -20
			echo "${t##*/}: failed"
			fail=$((fail + 1))
		fi
		;;
	esac
done
if [ -z "$pick" ]; then
	if out=$(python3 soak/test_world.py 2>&1); then
		pass=$((pass + 1))
	else
		printf '%s\n' "$out" | tail -20
		fail=$((fail + 1))
	fi
fi
# Scripted cuts of an owner and workers, of workers that have restarted, and
# workers that ignore starts and stops: real node processes.
if [ -z "$pick" ]; then
	for c in 'cut_case running --seed 71' 'cut_case ended --seed 72' \
	    'restart_case cut --seed 2' 'restart_case kill --seed 12' \
	    'restart_case late --seed 26' 'orders_case --seed 5'; do
		# shellcheck disable=SC2086
		if out=$(python3 "soak/${c%% *}.py" "$b" ${c#* } 2>&1); then
			pass=$((pass + 1))
		else
			printf '%s\n' "$out" | tail -20
			fail=$((fail + 1))
		fi
		printf '%s: %s\n' "$c" \
		    "$(printf '%s\n' "$out" | tail -1)"
	done
fi
# A short soak: real node processes under injected faults, with a fixed seed.
if [ -z "$pick" ]; then
	if out=$(python3 soak/soak.py "$b" --seed 3 --seconds 20 2>&1); then
		pass=$((pass + 1))
	else
		fail=$((fail + 1))
	fi
	printf 'soak: %s\n' "$(printf '%s\n' "$out" | tail -20)"
fi
# A cell of a deployment's size without faults: no accepted job may starve.
if [ -z "$pick" ]; then
	if out=$(python3 soak/soak.py "$b" --shape hima --calm --rate 0.3 \
	    --seed 7 --seconds 8 2>&1); then
		pass=$((pass + 1))
	else
		fail=$((fail + 1))
	fi
	printf 'soak of hima: %s\n' "$(printf '%s\n' "$out" | tail -20)"
fi
# Only whether they still run, once: they measure the release build.
if [ -n "$review" ]; then
	for c in 'tools/check-gen.sh' 'tools/bench.sh BUILD short' \
	    'tools/demo.sh BUILD'; do
		# shellcheck disable=SC2046
		if out=$(./$(echo "$c" | sed "s|BUILD|$b|") 2>&1); then
			pass=$((pass + 1))
			echo "${c%% *}: ran"
		else
			printf '%s\n' "$out" | tail -40
			fail=$((fail + 1))
			echo "${c%% *}: failed"
		fi
	done
fi
if [ -z "$pick" ]; then
	if ./tools/check-install.sh "$b"; then
		pass=$((pass + 1))
	else
		echo "check-install: failed"
		fail=$((fail + 1))
	fi
fi
if [ -n "$review" ]; then
	wait $review_pid
	rc=$?
	cat "$review"
	pass=$((pass + $(grep -c ': held: ' "$review")))
	f=$(grep -c ': failed, ' "$review")
	[ $rc -ne 0 ] && [ "$f" -eq 0 ] && f=1
	fail=$((fail + f))
	rm -f "$review"
fi
[ -f KNOWN-RED.txt ] && grep -v '^#' KNOWN-RED.txt | sed 's/^/known red: /'
echo "$pass passed, $fail failed"
[ "$fail" -eq 0 ] && [ "$pass" -gt 0 ]
