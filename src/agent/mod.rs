//! The agent of one backend server: all requests and orders to the server pass through it.

mod accounts;
mod agent_handle;
mod engine_access;
mod job;
mod job_io;
mod jobs;
mod link_listener;
mod orders;
pub mod run_call;
mod run_generation;
mod run_order;
mod work;

pub use self::agent_handle::Agent;
