#!/bin/sh
# Builds the programs of the cases that are scripts: one C file each, without
# any library but the system's own.
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review
for source in */driver.c
do
	case=$(dirname "$source")
	cc -std=gnu11 -O2 -Wall -Wextra -Wno-unused-function -pthread \
		-o "../target/review/driver-$case" "$source"
done
