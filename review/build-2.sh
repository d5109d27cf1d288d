#!/bin/sh
# Builds the stand-in that the scripts of the cases from 6 on start.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -ldflags=-linkmode=external -o target/review-standin2 ./review/standin2
