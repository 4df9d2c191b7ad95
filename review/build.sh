#!/bin/sh
# Compiles the stand-ins of the cases into review/build; needs the JDK only.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build standins/*.java
