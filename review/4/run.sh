#!/usr/bin/env bash
# A registration of another writer, then a stop of an entry.
cd "$(dirname "$0")" || exit 2
exec ../standins-2/run-case.sh OddEntryCase .
