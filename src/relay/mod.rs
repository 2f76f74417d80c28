//! How a program learns what changes in the store: from the store, or from another
//! instance of the program in its data centre, and how it feeds others.

mod follower;
mod handle;
mod membership;
mod message;
mod places;
mod serve;
mod table;

pub use self::{
    follower::{BACKOFF_MOST, Followed, Following, HOLD, follow},
    handle::{Relay, Seat}, //
};
