#!/bin/sh
# Builds the stand-in that the scripts of the cases 6 to 10 start.
set -eu
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-standin2 ./review/standin2
