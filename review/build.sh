#!/bin/sh
# Builds the stand-ins of the cases into review/target/classes. Needs the JDK alone.
set -eu
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes standin/review/*.java
