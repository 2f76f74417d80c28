//! The data by which requests are routed: the operators' configuration and the backend
//! servers' announcements.

mod config;
mod directory;
mod route;
mod server;
mod workspace;

pub use self::{
    config::{Config, EngineModel, Limits, Service},
    directory::Directory,
    route::{Route, RouteKind, Target},
    server::{LoadedModel, Server, ServerIncarnation},
    workspace::{Credential, KeyDigest, Workspace, Workspaces}, //
};
