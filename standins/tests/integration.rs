//! Tests of whole deployments over loopback sockets: scripted scenarios, bad input, and
//! faults of every part of a site.

mod integration {
    mod bad_input;
    mod call_queue;
    mod claims;
    mod conditions;
    mod connections;
    mod crashes;
    mod given_up_items;
    mod handover;
    mod late_answers;
    mod memory;
    mod odd_entries;
    mod planned_stop;
    mod raw_answers;
    mod relay;
    mod scenarios;
    mod server;
    mod single_version;
    mod site;
    mod stage;
    mod usage;
    mod workspaces;
}
