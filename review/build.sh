#!/usr/bin/env bash
# Builds the stand-ins and clients of the review cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
g++ -std=c++20 -O1 -pthread -Wall -Wextra -Wno-missing-field-initializers review/rig/*.cpp -o review/bin/rig
