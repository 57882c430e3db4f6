#!/bin/sh
# Checks the stand-ins, which are plain JavaScript and need no build. The scripts start them in their own process.
cd "$(dirname "$0")" || exit 1
for file in lib/*.js [1-5]/run.js; do
	[ ! -f "$file" ] || node --check "$file" || exit 1
done
