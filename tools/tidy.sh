#!/bin/sh
# Runs clang-tidy and cppcheck on the C sources.
set -e
# clang-tidy gets one file per run: version 14 keeps the state of its va_list
# check from one file to the next.
b=$1
files=$(git ls-files --cached --others --exclude-standard 'src/*.c' 'policy/*.c' 'cell/*.c' 'platform/*.c' 'daemon/*.c' 'ctl/*.c' 'check/*.c')
printf '%s\n' $files | xargs -P 8 -n 1 clang-tidy -p "$b" --quiet 2>/tmp/tidy.$$ ||
    { cat /tmp/tidy.$$; rm -f /tmp/tidy.$$; exit 1; }
rm -f /tmp/tidy.$$
cppcheck --quiet --std=c11 --error-exitcode=1 --inline-suppr \
    --enable=warning,portability -I . -I src -I policy -I cell -I platform -I daemon -I check -I gen \
    --suppress=missingIncludeSystem --suppress=unknownMacro $files
