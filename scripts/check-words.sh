#!/usr/bin/env bash
# Only platform/ may use the names of the users' platform: fails if src or apps
# contain a name of its wire protocol.
set -euo pipefail
cd "$(dirname "$0")/.."
words='X-Server-Signature|X-Target-Instance|X-Not-Executed|X-Caller-Service|X-Tenant|X-Timeout-Ms|X-Server-Load'
words+='|rows-(tx|get|feed)|blob-(put|get)|Instances\.(Heartbeat|Deregister)|route-type|api-keys|weighted-services'
words+='|[Ss]idecar|[Tt]enant|[Uu]pstream|beat-addr|readyz'
if git grep -nE "$words" -- src apps; then
  echo "words of the platform outside platform/" >&2
  exit 1
fi
