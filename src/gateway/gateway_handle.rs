//! A running gateway.

use super::{
    batches::Batches,
    door::Door,
    front::Front,
    readiness::is_ready, //
};
use crate::{
    base::{Clock, Millis},
    calls::Dispatcher,
    duty::{self, DutyError, Handle, HttpServer, Limits, Route, admin},
    platform::Store,
    relay::{Relay, Seat},
    settings::GatewaySettings,
    usage::{Counter, report},
    view::{Crashes, Site, confirm, keep, keep_crashes, watch_reach}, //
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex}, //
};

/// A running `redwing-gateway`; dropping it ends it.
pub struct Gateway {
    pub callers: SocketAddr,
    pub handle: Handle,
    pub metrics: SocketAddr,
    pub ready: SocketAddr,
}

/// How long a draining gateway goes on taking connections: the balancer asks
/// every second and takes a gateway out after two misses.
const LEAVE: Millis = Millis(3_000);

/// The idle time after which a caller's connection is closed. Callers reuse
/// connections for up to four fifths of the configured idle time; the longest
/// that the users' pages name is 15 s.
const IDLE: Millis = Millis(20_000);

/// The bytes of a request's head; the users' limit is 16 KiB.
const HEAD_BYTES: usize = 64 * 1024;

impl Gateway {
    /// Starts a gateway.
    pub fn open(settings: GatewaySettings) -> Result<Self, DutyError> {
        let common = &settings.common;
        let mut handle = Handle::open(common.stop_bound())?;
        let limits = Limits {
            head: HEAD_BYTES,
            head_time: IDLE,
            ..Limits::default()
        };
        let callers = HttpServer::bind(settings.callers, limits)?;
        let ready = HttpServer::bind(settings.ready, Limits::default())?;
        let metrics = HttpServer::bind(common.metrics, Limits::default())?;
        let peers = HttpServer::bind(common.peers, Limits::default())?;
        let addresses = (callers.address, metrics.address, ready.address);
        tracing::info!(
            instance = common.instance,
            version = env!("CARGO_PKG_VERSION"),
            callers = %addresses.0,
            store = %common.store,
            "gateway up"
        );

        let clock = Clock::open();
        let site = Arc::new(Site::new(clock, settings.revocation));
        let store = Store::open(common.store, clock);
        let seat = Seat {
            address: peers.address,
            group: format!("gateways-{}", common.data_centre),
            instance: common.instance.clone(),
        };
        let relay = Relay::open(seat, store.clone(), clock);
        let (crashes, writes) = Crashes::open(store.clone());
        let usage = settings.usage.map(|usage| {
            let windows = usage.windows();
            Counter::open(&common.instance, clock, store.clone(), windows)
        });
        let caller = Dispatcher::new(
            site.clone(),
            crashes.clone(),
            &common.data_centre,
            usage.clone(),
        );
        let reporting = usage.zip(settings.usage);
        let front = Arc::new(Front {
            batches: Batches {
                clock,
                heads: Mutex::new(HashMap::new()),
                site: site.clone(),
                store: store.clone(),
            },
            caller,
            clock,
            door: Door { site: site.clone() },
        });

        let supervisor = handle.supervisor().clone();
        let health = handle.health();
        let seen = site.clone();
        let shared = crashes.clone();
        let serve = move |context: duty::Context| async move {
            if seen.is_bounded() {
                tokio::spawn(confirm(seen.clone(), store.clone()));
            }
            if let Some((counter, usage)) = reporting {
                tokio::spawn(counter.clone().keep());
                let reporting = usage.reporting();
                tokio::spawn(report(counter, reporting, store, clock));
            }
            tokio::spawn(keep(seen.clone(), relay.clone()));
            tokio::spawn(keep_crashes(shared, writes, relay.clone()));
            tokio::spawn(watch_reach(seen, relay.clone()));
            tokio::spawn(relay.clone().serve(context.clone(), peers));
            tokio::spawn(relay.keep(context.clone()));
            let answering = context.clone();
            let handler = move |request| {
                let front = front.clone();
                let context = answering.clone();
                async move { front.answer(&context, request).await }
            };
            callers.serve(&context, LEAVE, handler).await;
            tracing::info!("callers drained");
            context.drained();
        };
        handle.add(duty::spawn("callers", &supervisor, serve)?);

        let none: Route = Arc::new(|_| Box::pin(async { None }));
        let watched = (health.clone(), none.clone());
        let serve = move |context: duty::Context| async move {
            let knows = move || is_ready(&site, &crashes, clock.now());
            let ready = admin(context.clone(), ready, health, knows, none);
            let (health, none) = watched;
            let metrics = admin(context, metrics, health, || true, none);
            tokio::join!(ready, metrics);
        };
        handle.add(duty::spawn("admin", &supervisor, serve)?);
        Ok(Self {
            callers: addresses.0,
            handle,
            metrics: addresses.1,
            ready: addresses.2,
        })
    }
}
