#!/bin/sh
# Builds the programs of the second review's cases, with all their stand-ins, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.rs; do
    folder=${case%/case.rs}
    rustc --edition 2021 -O -o "target/review-2/case-${folder##*/}" "$case"
done
