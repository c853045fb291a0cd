#!/bin/sh
# Compiles the stand-ins of the cases 11 to 15; needs the JDK only. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/stand-ins-3"
rm -rf target
mkdir target
javac -d target ./*.java
