//! redwingpond: a rollout service for reinforcement learning beside live traffic.
//!
//! The modules form layers. From the lowest to the highest: `base`, `policy` (decisions
//! without I/O), `wire`, `net`, `routing`, `store`, `batch`, `platform` (the wire
//! formats of the users' platform), `usage`, `table`, `engine`, `settings`, `duty`, `relay`, `view`,
//! `calls`, then the programs `agent`, `entry`, `gateway`, `runner` and `operator`. A layer
//! imports only lower ones, except that `policy` uses types of `routing`.

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
