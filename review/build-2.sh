#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start. Run it after the build of the
# deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
