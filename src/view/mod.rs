//! What a program knows of its site: configuration, servers, named versions,
//! crashes.

mod confirm;
mod crash_row;
mod crashes;
mod keeper;
mod reach;
mod site;

pub use self::{
    confirm::confirm,
    crashes::{Attempt, Claimed, CrashWrites, Crashes, keep_crashes},
    keeper::keep,
    reach::watch_reach,
    site::Site, //
};
