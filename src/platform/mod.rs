//! The wire formats of the users' platform: header names, calls and bodies.
//!
//! Only this folder uses the platform's own terms. Each file translates one kind of
//! message to or from the types of this program, and makes no decisions about it.
//! [`Store`] is the client of the platform's store.

mod batch_calls;
mod config;
mod engine;
mod excerpt;
mod guarantees;
mod ingress;
mod names;
mod server_answer;
mod server_entry;
mod store;
mod store_probe;
mod store_wire;
mod usage;

pub use self::{
    batch_calls::{SubmissionError, read_submission, write_page},
    config::{ConfigError, NamedVersion, read_config, read_named_version},
    engine::{
        EngineReport,
        EngineRequest,
        Event,
        EventReader,
        OrderAnswer,
        VersionOrder,
        initial_weight_version,
        order_request,
        read_order_answer,
        read_report,
        report_request, //
    },
    guarantees::load_features,
    ingress::{BatchCall, Ingress, classify, is_client_path},
    names::{
        ATTEMPT_ID,
        CONFIG_KEY,
        NAMED_VERSION_PREFIX,
        OPERATOR_TABLE,
        SERVERS_TABLE,
        SETTINGS_VARIABLE,
        answering_server,
        authorization,
        caller_timeout,
        credential,
        forwarded_request_headers,
        forwarded_response_headers,
        server_load,
        set_deadline,
        set_expected_server,
        set_header,
        set_priority,
        set_workspace,
        signature, //
    },
    server_answer::{check_answer, is_refusal},
    server_entry::{AnnouncementError, read_server},
    store::{MAX_READ_ROWS, Store},
    usage::UsageReport, //
};
