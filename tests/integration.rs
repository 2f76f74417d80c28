//! Integration tests of the product alone: decoders and settings.

mod integration {
    mod messages;
    mod settings_faults;
}
