//! redwingpond: a rollout service for reinforcement learning beside live traffic.
//!
//! Each layer imports only those listed before it: `base`, `policy` (pure
//! decisions), `wire`, `platform`, `engine`, `settings`, `duty`, then the
//! programs `agent`, `entry` and `operator`.

pub mod agent;
pub mod base;
pub mod duty;
pub mod engine;
pub mod entry;
pub mod operator;
pub mod platform;
pub mod policy;
pub mod settings;
pub mod wire;
