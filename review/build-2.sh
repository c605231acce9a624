#!/bin/sh
# Builds the programs of the cases 6 to 10, which hold all stand-ins that their scripts start. Needs the Rust toolchain only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    if [ -f "$folder/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review-2/case-$(basename "$folder")" "$folder/case.rs"
    fi
done
