#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. Needs the JDK only. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/standin/*.java
