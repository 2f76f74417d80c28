//! Starts the runner and the tasks that it consists of.

use super::{
    run_item::Engine,
    score::ScorerClient,
    work::{Setup, WorkLoop}, //
};
use crate::{
    calls::{Dispatcher, LoadControl},
    duty::{self, AdminRoute, DutyError, HttpLimits, HttpServer, ProgramHandle, serve_admin},
    net::{AnswerBudget, Matching, Peer},
    platform::{ATTEMPT_ID, Store, check_answer},
    policy::{memory_budget::answers_size, quarantine::CrashPolicy},
    relay::{Identity, Relay},
    settings::RunnerSettings,
    view::{
        Conditions,
        Crashes,
        Site,
        relay_group,
        sync_conditions,
        sync_crashes,
        sync_site, //
    },
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use tokio::sync::watch;

/// A running `redwing-runner`; dropping this stops it.
pub struct Runner {
    pub handle: ProgramHandle,
    /// The address of its metrics and health endpoints.
    pub metrics: SocketAddr,
}

impl Runner {
    /// Starts a runner.
    ///
    /// # Errors
    ///
    /// A [`DutyError`] if an address can't be bound or a thread can't be started.
    pub fn open(settings: RunnerSettings) -> Result<Self, DutyError> {
        let common = settings.common;
        let mut handle = ProgramHandle::open(common.stop_timeout())?;
        let metrics = HttpServer::bind(common.metrics, HttpLimits::admin("metrics"))?;
        let peers = HttpServer::bind(common.peers, HttpLimits::default())?;
        let address = metrics.address;
        tracing::info!(
            instance = common.instance,
            version = env!("CARGO_PKG_VERSION"),
            engine = %settings.engine,
            store = %common.store,
            "runner started"
        );

        let shutdown = handle.shutdown();
        let clock = shutdown.clock();
        let site = Arc::new(Site::new(clock, None));
        let store = Store::open(common.store, clock);
        let identity = Identity {
            address: peers.address,
            group: relay_group("runners", &common.data_centre, common.features),
            instance: common.instance.clone(),
        };
        let relay = Relay::open(identity, store.clone(), clock);
        let (incarnation, current) = watch::channel(None);
        let (crashes, writes) = Crashes::open(store.clone(), CrashPolicy::Pause);
        let features = common.features;
        let conditions = Conditions::open(features, store.clone(), &common.instance, clock);
        let load = LoadControl {
            answers: AnswerBudget::open(answers_size(common.limits.memory())),
            conditions: conditions.clone(),
            features,
        };
        let scorer_client = ScorerClient {
            dispatcher: Dispatcher::new(
                site.clone(),
                crashes.clone(),
                &common.data_centre,
                None,
                load,
                shutdown.clone(),
            ),
            site: site.clone(),
        };
        let matching = Matching::Id(ATTEMPT_ID);
        let setup = Setup {
            clock,
            drain: common.drain,
            engine: Engine {
                broken_runs: Arc::default(),
                clock,
                crashes: crashes.clone(),
                drains_runs: common.features.connections,
                last_crash: watch::Sender::new(None),
                mismatch: watch::Sender::new(None),
                pace: Arc::default(),
                peer: Peer::open_as("engine", matching, settings.engine, clock)
                    .checked(check_answer),
                rate: Arc::default(),
                scorer_client: Arc::new(scorer_client),
                shutdown,
                incarnation: current,
                store: store.clone(),
            },
            engine_address: settings.engine,
            features: common.features,
            instance: common.instance,
            memory: common.limits.memory(),
            relay: relay.clone(),
            retention: common.retention,
            incarnation,
            service: settings.service,
            site: site.clone(),
            store,
        };

        let supervisor = handle.supervisor().clone();
        let health = handle.health();
        let work = move |context: duty::Context| async move {
            tokio::spawn(sync_site(site, relay.clone()));
            tokio::spawn(sync_crashes(crashes, writes, relay.clone()));
            tokio::spawn(sync_conditions(conditions, relay.clone()));
            tokio::spawn(relay.clone().serve(context.clone(), peers));
            tokio::spawn(relay.maintain_role(context.clone()));
            WorkLoop::run(setup, context).await;
        };
        handle.add(duty::spawn("work", &supervisor, work)?);

        let no_route: AdminRoute = Arc::new(|_| Box::pin(async { None }));
        let serve = move |context| serve_admin(context, metrics, health, || true, no_route);
        handle.add(duty::spawn("admin", &supervisor, serve)?);
        Ok(Self {
            handle,
            metrics: address,
        })
    }
}
