#!/bin/sh
# The stand-ins of cases 6 to 10 are Python programs that use only the standard library. This checks that they compile.
cd "$(dirname "$0")" && for file in lab-2/*.py [6-9]/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
