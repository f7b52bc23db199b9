#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: one C file,
# without any library but the system's own.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
cc -std=gnu11 -O2 -Wall -Wextra -pthread review/standin-2.c \
	-o target/review-2/standin-2
