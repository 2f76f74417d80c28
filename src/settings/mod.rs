//! Settings: a process's own in a YAML file, and the shared ones under paths.

mod agent_settings;
mod common;
mod entry_settings;
mod fault;
mod file;
mod pool_settings;
mod reader;
mod shared;
mod site_settings;
mod team_settings;

pub use self::{
    agent_settings::{AgentSettings, Backend, BackendKind},
    common::{Common, DrainSettings, LogFormat},
    entry_settings::EntrySettings,
    fault::{Fault, SettingsError},
    file::{load, read},
    pool_settings::PoolSettings,
    reader::Reader,
    shared::{POOLS, ROOT, Shared, TEAMS},
    site_settings::{GatewaySettings, RunnerSettings, SiteCommon, UsageSettings},
    team_settings::{Caller, ClassSettings, RolloutSettings, TeamSettings, key_hash}, //
};
