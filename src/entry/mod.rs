//! The entry: accepts calls from callers and steps from trainers, and has agents run them.

mod app_api;
mod arrival;
mod call;
mod call_options;
mod call_target;
mod chat_api;
mod claimer;
mod command;
mod dialer;
mod directory;
mod directory_update;
mod dispatch;
mod entry_handle;
mod explain;
mod forward;
mod front;
mod learner;
mod links;
mod outcomes;
mod owned_step;
mod ownership;
mod peer_server;
mod reply_body;
mod request_body;
mod request_ids;
mod rollout;
mod sample;
mod server;
mod swaps;
mod traffic;
mod trainer;
mod trainer_api;
mod view;

pub use self::entry_handle::Entry;
