//! Integration tests of redwingpond without its stand-ins: codecs, settings, and the
//! decisions of gateways and runners.

mod integration {
    mod access;
    mod call_queue;
    mod conditions;
    mod connections;
    mod decisions;
    mod duties;
    mod handover;
    mod kept_rows;
    mod late_answers;
    mod memory_budget;
    mod messages;
    mod odd_rows;
    mod overload;
    mod platform_wire;
    mod quarantine;
    mod reach;
    mod relay_tree;
    mod second_runs;
    mod server_choice;
    mod settings_faults;
    mod step_times;
    mod use_counts;
    mod version_rule;
}
