//! Starts a gateway and keeps it running.

use super::{
    access::AccessControl,
    batches::Batches,
    frontend::Frontend,
    pressure::Pressure,
    readiness::is_ready, //
};
use crate::{
    base::Millis,
    calls::{Dispatcher, LoadControl},
    duty::{
        self, ACCEPT_TIME, AdminRoute, DutyError, HttpLimits, HttpServer, Memory, ProgramHandle,
        serve_admin,
    },
    platform::Store,
    policy::quarantine::CrashPolicy,
    relay::{Identity, Relay},
    settings::GatewaySettings,
    usage::{Counter, run_reporter},
    view::{
        Conditions,
        Crashes,
        Site,
        confirm_config,
        relay_group,
        sync_conditions,
        sync_crashes,
        sync_site,
        watch_store, //
    },
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};

/// A running `redwing-gateway`; dropping it stops it.
pub struct Gateway {
    /// The address for callers and trainers.
    pub callers: SocketAddr,
    pub handle: ProgramHandle,
    memory: Arc<Memory>,
    /// The address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
}

/// How long a caller's connection may stay idle, or a request's head take to arrive.
/// Callers reuse a connection for up to four fifths of the configured idle time, which
/// is 15 s at most according to the users' documentation.
const CALLER_IDLE_TIMEOUT: Millis = Millis(20_000);

/// The maximum size of a request's head; the users' own limit is 16 KiB.
const MAX_HEAD_BYTES: usize = 32 * 1024;

impl Gateway {
    /// Binds the gateway's listeners and starts its tasks.
    pub fn open(settings: GatewaySettings) -> Result<Self, DutyError> {
        let common = &settings.common;
        let mut handle = ProgramHandle::open(common.stop_timeout())?;
        let clock = handle.shutdown().clock();
        let store = Store::open(common.store, clock);
        let pressure = Pressure::open(common, &store, clock);
        let callers = bind_callers(&settings, &pressure)?;
        let ready = HttpServer::bind(settings.ready, HttpLimits::admin("ready"))?;
        let metrics = HttpServer::bind(common.metrics, HttpLimits::admin("metrics"))?;
        let peers = HttpServer::bind(common.peers, HttpLimits::default())?;
        let addresses = (callers.address, metrics.address, ready.address);
        tracing::info!(
            instance = common.instance,
            version = env!("CARGO_PKG_VERSION"),
            callers = %addresses.0,
            store = %common.store,
            "gateway started"
        );

        let site = Arc::new(Site::new(clock, settings.revocation));
        let identity = Identity {
            address: peers.address,
            group: relay_group("gateways", &common.data_centre, common.features),
            instance: common.instance.clone(),
        };
        let relay = Relay::open(identity, store.clone(), clock);
        let (crashes, writes) = Crashes::open(store.clone(), CrashPolicy::Quarantine);
        let features = common.features;
        let conditions = Conditions::open(features, store.clone(), &common.instance, clock);
        let usage = settings.usage.map(|usage| {
            let windows = usage.windows();
            Counter::open(&common.instance, clock, store.clone(), windows)
        });
        let dispatcher = Dispatcher::new(
            site.clone(),
            crashes.clone(),
            &common.data_centre,
            usage.clone(),
            LoadControl {
                answers: pressure.memory.answers(),
                conditions: conditions.clone(),
                features,
            },
            handle.shutdown(),
        );
        let usage_reporting = usage.zip(settings.usage);
        let frontend = Arc::new(Frontend {
            batches: Batches::new(&site, &store, pressure.memory.clone(), handle.shutdown()),
            dispatcher,
            clock,
            access: AccessControl { site: site.clone() },
            pressure: pressure.clone(),
            shutdown: handle.shutdown(),
        });

        let supervisor = handle.supervisor().clone();
        let health = handle.health();
        let shared_pressure = pressure.clone();
        let shared_site = site.clone();
        let shared_crashes = crashes.clone();
        let serve = move |context: duty::Context| async move {
            if shared_site.is_config_age_limited() {
                tokio::spawn(confirm_config(shared_site.clone(), store.clone()));
            }
            if let Some((counter, usage)) = usage_reporting {
                tokio::spawn(counter.clone().run());
                let reporting = usage.reporting();
                tokio::spawn(run_reporter(counter, reporting, store, clock));
            }
            shared_pressure.start();
            tokio::spawn(sync_site(shared_site.clone(), relay.clone()));
            tokio::spawn(sync_crashes(shared_crashes, writes, relay.clone()));
            tokio::spawn(sync_conditions(conditions, relay.clone()));
            tokio::spawn(watch_store(shared_site, relay.clone()));
            tokio::spawn(relay.clone().serve(context.clone(), peers));
            tokio::spawn(relay.maintain_role(context.clone()));
            let handler = move |request| {
                let frontend = frontend.clone();
                async move { frontend.answer(request).await }
            };
            callers.serve(&context, ACCEPT_TIME, handler).await;
            tracing::info!("callers' requests drained");
            context.mark_drained();
        };
        handle.add(duty::spawn("callers", &supervisor, serve)?);

        let no_routes: AdminRoute = Arc::new(|_| Box::pin(async { None }));
        let metrics_inputs = (health.clone(), no_routes.clone());
        let lag = pressure.lag;
        let serve = move |context: duty::Context| async move {
            let is_ready_now = move || is_ready(&site, &crashes, lag.as_deref(), clock.now());
            let ready = serve_admin(context.clone(), ready, health, is_ready_now, no_routes);
            let (health, no_routes) = metrics_inputs;
            let metrics = serve_admin(context, metrics, health, || true, no_routes);
            tokio::join!(ready, metrics);
        };
        handle.add(duty::spawn("admin", &supervisor, serve)?);
        Ok(Self {
            callers: addresses.0,
            handle,
            memory: pressure.memory.clone(),
            metrics: addresses.1,
            ready: addresses.2,
        })
    }

    /// The bytes that the gateway holds for its callers.
    pub fn held_bytes(&self) -> usize {
        self.memory.held()
    }
}

/// Binds the listener for callers and trainers.
fn bind_callers(settings: &GatewaySettings, pressure: &Pressure) -> Result<HttpServer, DutyError> {
    let limits = HttpLimits {
        listener: "callers",
        max_head: MAX_HEAD_BYTES,
        head_timeout: CALLER_IDLE_TIMEOUT,
        ..HttpLimits::default()
    };
    let limits = Pressure::http_limits(&settings.common, limits);
    let callers = HttpServer::bind(settings.callers, limits)?;
    Ok(callers.count_requests(pressure.memory.clone()))
}
