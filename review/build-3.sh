#!/bin/sh
# The stand-ins of the scripts of the third review are Python 3.11 without further packages: nothing is compiled.
# Checks that they can be loaded; the program itself comes from the build of the deploy file.
cd "$(dirname "$0")" && exec python3 -c "import stand_ins_3"
