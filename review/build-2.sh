#!/bin/sh
# Compiles the stand-ins and scripts of the cases 6 to 10. Needs javac only, no network.
set -e
cd "$(dirname "$0")/cases-2"
rm -rf target/classes
mkdir -p target/classes
javac -d target/classes src/review2/*.java
