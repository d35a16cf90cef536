#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/rig/Cargo.toml --target-dir target/review-2
