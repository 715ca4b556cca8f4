#!/bin/sh
# Builds the stand-ins of the cases 4 to 6. It needs the modules of the project only.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/standin2 ./review/standin2
