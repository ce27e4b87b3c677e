#!/bin/sh
# Runs every measurement; each prints lines `name value unit`.
for t in "$1"/bench_*; do
	[ -x "$t" ] && [ -f "$t" ] && "$t"
done
for s in bench/*.sh; do
	[ -f "$s" ] && sh "$s" "$1"
done
