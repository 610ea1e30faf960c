#!/bin/sh
# Builds the programs that the cases 6 and later start beside the project's own: one program with the cases and
# their stand-ins, on the standard library alone. Needs no network. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")/harness-2"
exec cargo build --release --locked --offline
