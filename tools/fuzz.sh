#!/bin/sh
# Many rounds of mutated input under the sanitizers; OGL_FUZZ is their number,
# OGL_FUZZ_SEED the first seed.  The last seed printed is the one that failed.
set -e
cmake -S . -B build-asan -G Ninja -DOGL_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug \
    >/dev/null
ninja -C build-asan test_daemon_fuzz
OGL_FUZZ=${OGL_FUZZ:-20000} exec build-asan/test_daemon_fuzz "$@"
