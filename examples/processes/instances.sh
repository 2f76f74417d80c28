#!/usr/bin/env bash
# Tells the stand-in platform which instances there are.
set -euo pipefail
put() {
    curl -sf -X POST 127.0.0.1:7000/admin/instances -d "$1" > /dev/null
}
put '{"name":"entry-1","data_centre":"intake-hall","admin":"127.0.0.1:7101","links":"127.0.0.1:7102","pool":null,"state":"live"}'
put '{"name":"bale-ledger-0","data_centre":"intake-hall","admin":"127.0.0.1:7201","links":"127.0.0.1:7202","pool":"bale-ledger","state":"live"}'
put '{"name":"sorter-models-0","data_centre":"strip-hall","admin":"127.0.0.1:7301","links":"127.0.0.1:7302","pool":"sorter-models","state":"live"}'
put '{"name":"foam-judge-0","data_centre":"strip-hall","admin":"127.0.0.1:7401","links":"127.0.0.1:7402","pool":"foam-judge","state":"live"}'
