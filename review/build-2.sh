#!/bin/sh
# Builds the stand-ins and scripts of the second review. Needs only the JDK; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf rig2/target
mkdir -p rig2/target
javac -Xlint:all -d rig2/target rig2/*.java
