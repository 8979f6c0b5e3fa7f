#!/bin/sh
# Builds the stand-ins of the cases into review/target. Needs the JDK only.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir target
javac -d target standin/*.java
