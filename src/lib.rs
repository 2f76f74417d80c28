//! redwingpond: a rollout service for reinforcement learning beside live traffic.
//!
//! Each layer imports only those listed before it: `base`, `policy` (pure
//! decisions), `wire`, `net`, `routing`, `store`, `batch`, `platform` (the
//! users' machines), `table`, `engine`, `settings`, `duty`, `relay`, `view`, `calls`,
//! then the programs `agent`, `entry`, `gateway`, `runner` and `operator`.

pub mod agent;
pub mod base;
pub mod batch;
pub mod calls;
pub mod duty;
pub mod engine;
pub mod entry;
pub mod gateway;
pub mod net;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod relay;
pub mod routing;
pub mod runner;
pub mod settings;
pub mod store;
pub mod table;
pub mod usage;
pub mod view;
pub mod wire;
