#!/bin/sh
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without any disruption;
# TROUBLE=disks: only with the two losses of a disk.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/case3 review/3
