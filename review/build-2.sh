#!/usr/bin/env bash
# Builds the stand-ins of the second review, for the scripts in review/6 to review/10. It needs no network.
# The program itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
