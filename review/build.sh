#!/bin/sh
# Compiles the stand-ins of the review (store, workers, clients, proxy). Needs only the JDK.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review review/src/*.java
