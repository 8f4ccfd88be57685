#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
[ -x "$root/target/review/case-$(basename "$folder")" ] || { echo "build review/build.sh first"; exit 2; }
exec "$root/target/review/case-$(basename "$folder")" "$root" "$folder"
