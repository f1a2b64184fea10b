#!/bin/sh
# Builds the stand-ins and clients of the cases 6 and up into target/review-2/. Needs only the C++ compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
c++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/rig review/rig-2/*.cpp
