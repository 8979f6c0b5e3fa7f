#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
[ -f "$root/target/passhatch.jar" ] && [ -f "$root/review/target/SlowDownloads.class" ] || exit 2
exec java -Xmx256m -Dreview.root="$root" -cp "$root/review/target" SlowDownloads "$here/record.txt"
