//! Distributes changes of the store's tables among the instances of a program.
//!
//! The instances of a data centre form a tree: a few roots read the store, and each
//! other instance (child) gets the changes from a root or another child (its parent).

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
