#!/usr/bin/env bash
# Plays the case and writes record.txt; TROUBLE=0 plays it without its disruption.
# Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
# not run.
cd "$(dirname "$0")" || exit 2
node play.mjs > record.txt
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
