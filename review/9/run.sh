#!/usr/bin/env bash
exec "$(dirname "$0")/../common-3/play.sh" case_leave review/9
