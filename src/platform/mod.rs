//! The users' platform: its names, headers, calls and bodies.
//!
//! Only this folder knows them. Each file translates one kind of message into
//! the product's types, or back; nothing here decides anything.

mod batch_calls;
mod config;
mod engine;
mod ingress;
mod names;
mod server_entry;
mod store;
mod store_probe;
mod store_wire;
mod usage;

pub use self::{
    batch_calls::{SubmissionError, read_submission, write_page},
    config::{ConfigError, Named, read_config, read_named},
    engine::{
        EngineReport,
        EngineRequest,
        Event,
        EventReader,
        OrderAnswer,
        VersionOrder,
        order_answer,
        order_request,
        read_report,
        report_request,
        version_of_head, //
    },
    ingress::{BatchCall, Ingress, classify},
    names::{
        ATTEMPT_ID,
        CONFIG_KEY,
        NAMED_VERSION,
        OPERATOR_TABLE,
        SERVERS_TABLE,
        SETTINGS_VARIABLE,
        answered,
        authorization,
        caller_deadline,
        credential,
        forwarded,
        instance_of,
        not_executed,
        server_load,
        set_deadline,
        set_header,
        set_instance,
        set_priority,
        set_workspace,
        signature, //
    },
    server_entry::{EntryError, read_server},
    store::{ROWS_MOST, Store},
    usage::UsageReport, //
};
