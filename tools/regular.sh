#!/usr/bin/env bash
# The regular runs on the users' bench: tools/regular.sh score|hunt BENCH SITES
# BENCH is the bench's program, SITES the folder of its deployments.  The two
# oldest deployments are no longer among them; `old` scores them once before a
# landing.  JOBS: cores to use.
set -euo pipefail
cd "$(dirname "$0")/.."
verb=$1 bench=$2 dir=$3 jobs=${JOBS:-4}
small=(further/ibiciro-glade)
large=(shifted/hima-ops-now-grown large/hima-ops-large further-grown/ibiciro-glade-grown
    grown/hima-ops-grown grown/faelles-affedt-grown)
old=(sites/hima-ops sites/faelles-affedt)

play() {
	"$bench" "$@" --jobs "$jobs" --why "regular run: $verb"
}

case $verb in
score)
	for s in "${large[@]}"; do play score "$dir/$s.toml" --small; done
	for s in "${small[@]}" "${large[@]}"; do play score "$dir/$s.toml"; done
	;;
hunt)
	for s in "${small[@]}"; do play hunt "$dir/$s.toml" --days 40; done
	for s in "${large[@]}"; do play hunt "$dir/$s.toml" --days 8; done
	;;
old)
	for s in "${old[@]}"; do play score "$dir/$s.toml"; done
	;;
*)
	echo "usage: $0 score|hunt|old BENCH SITES" >&2
	exit 2
	;;
esac
