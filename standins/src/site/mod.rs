//! The users' platform and what runs on it: a store, engines and plain
//! servers that speak the published protocol and fail on command, and a scene
//! that opens gateways and runners among them.

mod cloud;
mod engine;
mod faults;
mod plain;
mod rows;
mod scene;
mod store;
mod trainer;

pub use self::{
    cloud::{Cloud, CloudFault, UsageCall},
    engine::{Engine, EngineFaults, Run},
    faults::{Outage, StoreFaults},
    plain::{Asker, Plain, PlainFault},
    rows::Rows,
    scene::{Scene, Shape, announce_engine, put_config, server_entry},
    store::Store,
    trainer::{Batch, Reply, ScenePage}, //
};
