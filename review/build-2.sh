#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases of the second review into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for driver in review/*/driver.cpp; do
    name=$(basename "$(dirname "$driver")")
    g++ -std=c++20 -O1 -Wall -Wextra -Ireview/standins-2 -o "target/review-2/case-$name" \
        "$driver" review/standins-2/*.cpp -lboost_json -lpthread
done
