#!/usr/bin/env bash
# The whole test: format, lints, tests, docs, release build and the limits of the module.
set -euo pipefail
cd "$(dirname "$0")"
cargo fmt --all -- --check
cargo clippy --workspace --all-targets --locked -- -D warnings
cargo test --workspace --locked
RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked
cargo build --release --workspace --locked
lines=$(grep -c '[^[:space:]]' src/logic.rs)
longest=$(awk '{ if (length($0) > m) m = length($0) } END { print m }' src/logic.rs)
echo "src/logic.rs: $lines lines that are not blank (1060 at most), the longest has $longest characters (110)"
[ "$lines" -le 1060 ] && [ "$longest" -le 110 ]
