//! Settings: each process has its own in a YAML file; the shared settings of all entries are
//! YAML documents in the platform's table.

mod agent_settings;
mod common;
mod entry_settings;
mod fault;
mod file;
mod load_settings;
mod pool_settings;
mod reader;
mod shared;
mod site_settings;
mod team_settings;

pub use self::{
    agent_settings::{AgentSettings, Backend, BackendKind},
    common::{CommonSettings, DrainSettings, LogFormat},
    entry_settings::EntrySettings,
    fault::{Fault, SettingsError},
    file::{load, read},
    load_settings::InstanceLimits,
    pool_settings::PoolSettings,
    reader::Reader,
    shared::{POOLS_PREFIX, SETTINGS_PREFIX, SharedSettings, TEAMS_PREFIX},
    site_settings::{GatewaySettings, RunnerSettings, SiteSettings, UsageSettings},
    team_settings::{Caller, ClassSettings, RolloutSettings, TeamSettings, key_hash}, //
};
