#!/usr/bin/env bash
# Builds the programs of this folder into target/review-3/. Needs no network and no installed package beyond
# those of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/../.."
mkdir -p target/review-3
for name in crash leave; do
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -I review/common-3 \
    review/common-3/net.cpp review/common-3/fleet.cpp "review/common-3/case_$name.cpp" \
    -o "target/review-3/case_$name"
done
