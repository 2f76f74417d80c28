//! Which backend servers may get a request: the operators' routes and the
//! servers' own announcements.

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
