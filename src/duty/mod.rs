//! Duties, their supervision, and what all programs need around them: HTTP, logs, signals.
//!
//! A duty is a thread with its own async runtime that owns the state of one task of a
//! program, such as accepting calls. Duties exchange data over bounded channels. Control
//! messages (drain, stop, the end of a duty) pass between `ractor` actors: their mailboxes
//! are unbounded, so they carry nothing whose rate a caller controls.

mod admin;
mod body;
mod connection;
mod control;
mod handle;
mod http_server;
mod log;
mod memory;
mod shutdown;
mod signals;
mod supervisor;
mod telemetry;
mod thread;

pub use self::{
    admin::{AdminRoute, serve_admin},
    body::{BodyError, BodyReader},
    connection::Connection,
    control::{ControlMessage, Phase},
    handle::ProgramHandle,
    http_server::{
        Answer, HttpLimits, HttpServer, SMALL_BUFFER, json, problem, problem_details, text,
        unavailable,
    },
    log::{LogGuard, open_log, open_stdout_log},
    memory::{Hold, Memory, Reader},
    shutdown::{ACCEPT_TIME, RETRY_AFTER_STOPPING, Shutdown},
    signals::wait_for_stop,
    supervisor::{Health, Supervisor, SupervisorMessage},
    telemetry::render_metrics,
    thread::{Context, Duty, DutyError, bind_listener, spawn}, //
};
