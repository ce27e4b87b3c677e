#!/bin/sh
# Runs the fuzz tests under the sanitizers.  OGL_FUZZ is the number of rounds and
# OGL_FUZZ_SEED the first seed.  After a failure the last seed printed is the
# failing one.
set -e
cmake -S . -B build-asan -G Ninja -DOGL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug \
    >/dev/null
ninja -C build-asan test_daemon_fuzz test_daemon_carry
OGL_FUZZ=${OGL_FUZZ:-20000}
export OGL_FUZZ
build-asan/test_daemon_carry
exec build-asan/test_daemon_fuzz "$@"
