#!/bin/sh
# Builds what the second review's cases start beside the limiter, without a network: their stand-ins, with the standard
# library alone, and the project's kit for case 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[0-9]*/*.rs; do
    case "$source" in
    */case.rs) continue ;; # of the first review, see build.sh
    esac
    number=$(basename "$(dirname "$source")")
    rustc --edition 2021 -O -A dead_code -o "review/bin/case-$number" "$source"
done
cargo build --release --locked --offline -p sedgestack-kit ||
    echo "build-2.sh: the kit could not be built here; case 10 will end with 2" >&2
