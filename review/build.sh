#!/bin/bash
# Builds the stand-ins of the scripts. Run after the build of the deploy file; needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml --target-dir target/review
