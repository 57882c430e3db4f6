#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to 15 start, after the build of the deploy file.
cd "$(dirname "$0")/.." && npm run build --silent
