#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10: 6, 7 and 10 into target/review-2/, 8 and 9 into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,10}/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "target/review-2/$(basename "$source" .cpp)" "$source"
done
review/common-3/build.sh
