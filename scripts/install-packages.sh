#!/usr/bin/env bash
# Installs the Debian packages of scripts/packages.txt that are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
missing=()
while read -r package; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done <scripts/packages.txt
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
sudo=""
[ "$(id -u)" -eq 0 ] || sudo="sudo"
$sudo apt-get update -qq
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq "${missing[@]}" >/dev/null
