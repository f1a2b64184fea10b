#!/bin/sh
# Builds the stand-ins and clients of the cases 11 and up into target/review-3/. Needs only the C++ compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
c++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-3/rig review/rig-3/*.cpp
