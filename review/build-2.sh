#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, beside the build of the deploy file: the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    if [ -f "review/$case/case.rs" ]; then
        rustc --edition 2024 -O -A dead_code -o "target/review-2/case$case" "review/$case/case.rs"
    fi
done
