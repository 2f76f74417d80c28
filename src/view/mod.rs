//! A program's view of its site: the configuration, the servers, the weight versions that
//! trainers named, the crashes, and what instances tell each other of their load.

mod condition_row;
mod conditions;
mod confirm;
mod crash_row;
mod crashes;
mod reach;
mod site;
mod sync;

pub use self::{
    conditions::{Conditions, SharedCondition, relay_group, sync_conditions},
    confirm::confirm_config,
    crashes::{ClaimedTrial, CrashWrites, Crashes, sync_crashes},
    reach::watch_store,
    site::Site, //
    sync::sync_site,
};
