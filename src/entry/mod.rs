//! The entry: what callers and trainers talk to.

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
mod dispatch;
mod entry_handle;
mod explain;
mod forward;
mod front;
mod issue;
mod learner;
mod links;
mod news;
mod outcomes;
mod owned_step;
mod ownership;
mod peer_door;
mod reply_body;
mod request_body;
mod rollout;
mod sample;
mod server;
mod swaps;
mod traffic;
mod trainer;
mod trainer_api;
mod view;

pub use self::entry_handle::Entry;
