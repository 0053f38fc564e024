#!/bin/sh
exec timeout -k 5 115 java -cp "$(dirname "$0")/../target" EndlessComments "$(dirname "$0")"
