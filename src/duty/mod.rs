//! Threads that each own one task's state, and their supervision.
//!
//! Each duty is a thread with a runtime of its own. Data flows between duties
//! over bounded rings. Control (drain, stop, a duty's end) flows over `ractor`
//! actors, whose mailboxes are unbounded and therefore carry nothing whose
//! rate a caller controls.

mod admin;
mod control;
mod handle;
mod http_server;
mod log;
mod signals;
mod supervisor;
mod telemetry;
mod thread;

pub use self::{
    admin::{AdminRoute, serve_admin},
    control::{ControlMessage, Phase},
    handle::ProgramHandle,
    http_server::{Answer, HttpLimits, HttpServer, json, problem, problem_details, text},
    log::{LogGuard, open_log, open_stdout_log},
    signals::wait_for_stop,
    supervisor::{Health, Supervisor, SupervisorMessage},
    telemetry::render_metrics,
    thread::{Context, Duty, DutyError, bind_listener, spawn}, //
};
