#!/bin/sh
# Builds the stand-ins of the scripts of this review. They need only the standard library, so no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
for source in review/standin-3/*.rs; do
    name=$(basename "$source" .rs)
    [ "$name" = common ] && continue
    rustc --edition 2024 -O -o "target/review-3/$name" "$source" || exit 2
done
