#!/bin/sh
# Builds the stand-ins and drivers of the review's cases. Needs the standard library alone, and no network.
set -e
cd "$(dirname "$0")/harness"
exec cargo build --release --locked --offline --target-dir target
