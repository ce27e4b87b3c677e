#!/bin/sh
# Installs a build folder under a temporary prefix and compiles the examples
# against it with the flags of pkg-config only, as an embedding program does.
set -e
b=$1
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install "$b" --prefix "$prefix" >"$prefix/install.log" ||
    { cat "$prefix/install.log"; exit 1; }
export PKG_CONFIG_PATH="$prefix/lib/pkgconfig"
# Programs that use a sanitized library have to be linked with the sanitizers.
san=
grep -q '^OGL_SANITIZE:BOOL=ON' "$b/CMakeCache.txt" &&
    san=-fsanitize=address,undefined
for e in schedule node; do
	# shellcheck disable=SC2046
	cc -std=gnu11 -o "$prefix/$e" "examples/$e.c" $san \
	    $(pkg-config --cflags --libs orioleglade)
	"$prefix/$e" >/dev/null
done
"$prefix/sbin/orioleglade" --version >/dev/null
"$prefix/bin/oriolectl" --version >/dev/null
