#!/usr/bin/env bash
# 1: the rule was broken. 0: it held. 2: the case could not run. TROUBLE=0: without the disruption.
# What was sent, answered and run is in record.txt beside this file.
export PYTHONDONTWRITEBYTECODE=1
python3 "$(dirname "${BASH_SOURCE[0]}")/case.py"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
