#!/usr/bin/env bash
# Builds what the scripts start beside the product: clients, origins, the operator, the platform.
set -euo pipefail
cd "$(dirname "$0")/stand-ins"
cargo build --release --offline --locked
