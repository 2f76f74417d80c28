//! A small deployment: a store, samplers, runners and gateways.

use crate::{
    batch::Client,
    deployment::{Folder, Limits, Program, free_address},
    record::Record,
    sampler::{About, Sampler},
    site,
    store::{Rates, Store},
};
use std::{io, thread, time::Duration};

/// What a stage has.
pub struct Plan {
    /// The samplers that answer calls.
    pub calls: usize,
    pub gateways: usize,
    pub item_ttl_s: u32,
    pub limits: Limits,
    /// The connections that each sampler of calls accepts.
    pub max_connections: u32,
    /// The model samplers, each with a runner beside it.
    pub models: usize,
    pub rates: Rates,
    pub slots: u32,
    /// The events of each item, and the pause between them.
    pub events: usize,
    pub gap: Duration,
    /// How long a call takes.
    pub work: Duration,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            calls: 1,
            gateways: 1,
            item_ttl_s: 60,
            limits: Limits {
                memory_mb: 280,
                descriptors: 8_200,
                drain_ms: 2_000,
                pool: false,
                status_ttl_s: 120,
            },
            max_connections: 96,
            models: 2,
            rates: Rates {
                reads: 2_000,
                writes: 800,
            },
            slots: 12,
            events: 15,
            gap: Duration::from_millis(20),
            work: Duration::from_millis(20),
        }
    }
}

/// A running deployment. The programs end with it.
pub struct Stage {
    pub gateways: Vec<Program>,
    /// Kept so that they run as long as the stage.
    _runners: Vec<Program>,
    pub models: Vec<Sampler>,
    pub calls: Vec<Sampler>,
    pub store: Store,
    pub record: Record,
    _folder: Folder,
}

impl Stage {
    pub fn open(plan: Plan, record: &Record) -> io::Result<Self> {
        let folder = Folder::open()?;
        let store_address = free_address()?;
        let store = Store::open(store_address, plan.rates)?;
        store.put(
            "op",
            "config",
            &site::config(3, plan.item_ttl_s, plan.max_connections),
        );
        let mut calls = Vec::new();
        for number in 0..plan.calls {
            let about = About {
                address: free_address()?,
                events: plan.events,
                gap: plan.gap,
                id: format!("i-calls{number:04}"),
                model: None,
                service: site::CALLS_SERVICE.to_owned(),
                slots: plan.slots,
                work: plan.work,
            };
            calls.push(Sampler::open(about, &store, record)?);
        }
        let mut models = Vec::new();
        for number in 0..plan.models {
            let about = About {
                address: free_address()?,
                events: plan.events,
                gap: plan.gap,
                id: format!("i-model{number:04}"),
                model: Some((site::MODEL.to_owned(), 1)),
                service: site::MODELS_SERVICE.to_owned(),
                slots: plan.slots,
                work: Duration::ZERO,
            };
            models.push(Sampler::open(about, &store, record)?);
        }
        let mut runners = Vec::new();
        for (number, model) in models.iter().enumerate() {
            let engine = (model.about.address, site::MODELS_SERVICE);
            let name = format!("side-{number}");
            let runner =
                Program::runner(&name, store_address, engine, plan.limits, &folder, record)?;
            runners.push(runner);
        }
        let mut gateways = Vec::new();
        for number in 0..plan.gateways {
            let name = format!("edge-{number}");
            let gateway = Program::gateway(&name, store_address, plan.limits, &folder, record)?;
            gateways.push(gateway);
        }
        // Runners need about a second until their heartbeats are known.
        thread::sleep(Duration::from_secs(3));
        Ok(Self {
            gateways,
            _runners: runners,
            models,
            calls,
            store,
            record: record.clone(),
            _folder: folder,
        })
    }

    /// A requester at the gateway with this number.
    pub fn client(&self, gateway: usize) -> io::Result<Client> {
        let front = self.gateways[gateway].front;
        Ok(Client {
            front: front.ok_or(io::ErrorKind::NotConnected)?,
            host: site::HOST.to_owned(),
            record: self.record.clone(),
        })
    }
}
