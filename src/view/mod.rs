//! What a program knows of its site: configuration, servers, named versions,
//! crashes.

mod confirm;
mod crash_row;
mod crashes;
mod keeper;
mod site;

pub use self::{
    confirm::confirm,
    crashes::{Attempt, Claimed, CrashWrites, Crashes, keep_crashes},
    keeper::keep,
    site::Site, //
};
