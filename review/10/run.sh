#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
driver=target/review-2/case-$(basename "$folder")
cd "$folder/../.." || exit 2
[ -x "$driver" ] && [ -x target/platform/amaranthdale-edge ] || exit 2
rm -f "$folder/record.txt"
timeout -k 5 110 "$driver" "$folder"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
