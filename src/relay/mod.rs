//! How a program learns what changes in the store: from the store, or from another
//! instance of the program in its data centre, and how it feeds others.

mod follower;
mod handle;
mod membership;
mod message;
mod root_slots;
mod serve;
mod table;

pub use self::{
    follower::{DEFAULT_HOLD, FollowEvent, FollowOptions, MAX_BACKOFF, follow},
    handle::{Identity, Relay}, //
};
