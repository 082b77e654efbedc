#!/usr/bin/env bash
# A server that states a very long idle timeout, then a stop of an entry.
cd "$(dirname "$0")" || exit 2
exec ../standins-2/run-case.sh KeepAliveCase .
