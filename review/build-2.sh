#!/bin/sh
# Builds the stand-ins of cases 6 to 10 into target/review-2; needs the JDK only, and no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -d target/review-2 review/standins-2/*.java
