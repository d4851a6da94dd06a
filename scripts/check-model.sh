#!/usr/bin/env bash
# Checks one Promela model exhaustively with spin. A model whose name contains
# "-broken" must violate a property; any other must not.
set -euo pipefail
model=$(realpath "$1")
dir=$2
mkdir -p "$dir"
cd "$dir"
rm -f ./*.trail pan*
spin -a "$model" >spin.log
gcc -O2 -DSAFETY -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c 2>gcc.log
./pan -m200000 >pan.log
errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log)
grep -E 'errors|states, stored' pan.log
if grep -q 'search depth too small\|max search depth' pan.log; then
  echo "search is not exhaustive"
  exit 1
fi
case "$(basename "$model")" in
  *-broken*) [ "$errors" -gt 0 ] ;;
  *) [ "$errors" -eq 0 ] ;;
esac
