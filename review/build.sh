#!/bin/sh
# Compiles the stand-ins of the review, after `mvn -q -B -DskipTests package`, with the JSON library that the build has put into target/lib.
cd "$(dirname "$0")/.." || exit 2
[ -f target/burlridge.jar ] || mvn -q -B -DskipTests package || exit 2
mkdir -p target/review
exec javac -nowarn -cp "target/lib/*" -d target/review review/standins/*.java
