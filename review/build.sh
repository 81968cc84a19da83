#!/bin/bash
# Builds the stand-ins that the cases start. Needs nothing but the toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
