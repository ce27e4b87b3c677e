#!/usr/bin/env bash
# Regular runs of the users' benchmark.
# usage: tools/regular.sh score|hunt|old BENCH SITES
#
# BENCH is the benchmark program and SITES the folder of its deployments.  `old`
# scores the two oldest deployments, which score and hunt leave out, once before
# a release.  JOBS is the number of cores to use.
set -euo pipefail
cd "$(dirname "$0")/.."
verb=${1:-} bench=${2:-} dir=${3:-} jobs=${JOBS:-4}
small=(further/ibiciro-glade)
large=(shifted/hima-ops-now-grown large/hima-ops-large further-grown/ibiciro-glade-grown
    grown/hima-ops-grown grown/faelles-affedt-grown)
old=(sites/hima-ops sites/faelles-affedt)

run_bench() {
	"$bench" "$@" --jobs "$jobs" --why "regular run: $verb"
}

case $verb in
score)
	for s in "${large[@]}"; do run_bench score "$dir/$s.toml" --small; done
	for s in "${small[@]}" "${large[@]}"; do run_bench score "$dir/$s.toml"; done
	;;
hunt)
	for s in "${small[@]}"; do run_bench hunt "$dir/$s.toml" --days 40; done
	for s in "${large[@]}"; do run_bench hunt "$dir/$s.toml" --days 8; done
	;;
old)
	for s in "${old[@]}"; do run_bench score "$dir/$s.toml"; done
	;;
*)
	echo "usage: $0 score|hunt|old BENCH SITES" >&2
	exit 2
	;;
esac
