#!/bin/sh
# Builds the stand-ins of the second review; to be run after the build of the deploy file.
set -e
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/standin-2/target"
mkdir -p "$here/standin-2/target"
javac -d "$here/standin-2/target" "$here"/standin-2/src/*.java
