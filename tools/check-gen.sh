#!/bin/sh
# Compares the committed table of settings with what its schema gives.
set -e
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
python3 tools/gen_settings.py schema/settings.schema.json \
    "$out/settings_table.c"
cmp "$out/settings_table.c" gen/settings_table.c
cmp "$out/settings_table.h" gen/settings_table.h
