#!/bin/sh
# Builds the programs of the second review's cases, with all their stand-ins, into target/review-2. Needs rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/play.rs; do
    folder=${source%/play.rs}
    rustc --edition 2021 -O -o "target/review-2/case-${folder##*/}" "$source"
done
