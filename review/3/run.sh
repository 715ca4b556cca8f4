#!/bin/sh
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without any disruption; TROUBLE=loss: only with the loss of one controller.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin/case3 review/3
