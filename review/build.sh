#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs rustc alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
rustc --edition 2021 -O kit.rs -o bin/kit
