#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/9 start besides the deployed program: the project's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build --silent
