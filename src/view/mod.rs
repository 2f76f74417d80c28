//! A program's view of its site: the configuration, the servers, the weight versions that
//! trainers named, and the crashes.

mod confirm;
mod crash_row;
mod crashes;
mod reach;
mod site;
mod sync;

pub use self::{
    confirm::confirm_config,
    crashes::{ClaimResult, ClaimedAttempt, CrashWrites, Crashes, sync_crashes},
    reach::watch_store,
    site::Site, //
    sync::sync_site,
};
