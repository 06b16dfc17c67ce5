#!/bin/sh
# Prepares the stand-ins of the scripts. They are Python and need no build; this
# checks that they and what they use can be loaded.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review/common PYTHONDONTWRITEBYTECODE=1 python3 -c '
import deployment, link, runner, wire
import pimentobridge.testing.platform_servers
'
