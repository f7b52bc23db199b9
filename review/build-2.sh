#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: the
# project's store, and those of standin-2.c. Run it after the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
make -s -j8 B=target/review-2 target/review-2/store
${CC:-cc} -std=gnu11 -O2 -Wall -Wextra -pthread review/standin-2.c \
	-o target/review-2/standin-2
