#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -d target/review-2 review/standin-2/*.java
