//! Integration tests of the product alone: decoders and settings.

mod integration {
    mod access;
    mod decisions;
    mod duties;
    mod kept_rows;
    mod messages;
    mod overload;
    mod platform_wire;
    mod quarantine;
    mod reach;
    mod relay_tree;
    mod settings_faults;
    mod step_times;
    mod use_counts;
}
