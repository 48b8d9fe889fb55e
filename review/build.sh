#!/bin/sh
# Builds the stand-ins and the cases. Needs target/reedmast.jar: run the build command of deploy/service.toml first.
set -e
cd "$(dirname "$0")/.."
rm -rf review/target
mkdir -p review/target/classes
javac -nowarn -d review/target/classes -cp target/reedmast.jar review/standin/*.java review/[0-9]/*.java
