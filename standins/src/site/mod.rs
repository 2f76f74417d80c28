//! Stand-ins for the users' platform: the store, the collector of usage reports, engines
//! and plain backend servers. They speak the published protocol and inject faults.
//! [`TestSite`] runs real gateways and runners among them in one process.

mod engine;
mod faults;
mod faulty_relay;
mod log;
mod plain;
mod raw_request;
mod repeating_relay;
mod rows;
mod store;
mod test_site;
mod trainer;
mod usage_collector;

pub use self::{
    engine::{Engine, EngineFaults, Run},
    faults::{Outage, StoreFaults},
    faulty_relay::{FaultyRelay, RawAnswer, RawEnd},
    plain::{Capacity, PlainFault, PlainServer, RequestIdentity},
    repeating_relay::{
        CarriedRequest,
        CarriedRequests,
        LateMoment,
        RepeatingRelay, //
        Repetition,
        SecondAnswer,
    },
    rows::Rows,
    store::Store,
    test_site::{SiteOptions, TestSite, announce_engine, put_config, server_entry},
    trainer::{Batch, ItemResult, ResultPage}, //
    usage_collector::{CollectorFault, UsageCollector, UsageReport},
};
