//! Starts an entry, and holds it while it runs.

use super::{
    app_api::AppApi,
    claimer,
    command,
    directory::Directory,
    explain,
    forward::Forwarder,
    front,
    learner,
    peer_server::{self, PeerApi},
    request_body::Bodies,
    request_ids::RequestIds,
    rollout::{self, RolloutInputs},
    traffic,
    trainer_api::TrainerApi,
    view::View, //
};
use crate::{
    base::{Clock, Incarnation},
    duty::{self, DutyError, HttpLimits, HttpServer, Memory, ProgramHandle, SMALL_BUFFER},
    policy::{
        lease::Claimant,
        memory_budget::{connections_in_memory, max_connections},
    },
    settings::EntrySettings,
    wire::{Hello, Role}, //
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use tokio::sync::{
    mpsc,
    watch, //
};

/// A running `redwing-entry`; dropping it stops the entry.
pub struct Entry {
    /// The address of the HTTP API for operators.
    pub admin: SocketAddr,
    /// The address of the HTTP API for callers and trainers.
    pub callers: SocketAddr,
    pub handle: ProgramHandle,
    /// The address for links from other entries.
    pub links: SocketAddr,
}

/// The most ids of delivered answers that may wait to be reported to the traffic duty.
const MAX_QUEUED_DELIVERIES: usize = 4_096;

impl Entry {
    /// Starts an entry with all its duties.
    pub fn open(settings: EntrySettings) -> Result<Self, DutyError> {
        let common = &settings.common;
        let mut handle = ProgramHandle::open(common.drain.timeout)?;
        let admin = HttpServer::bind(common.admin, HttpLimits::admin("admin"))?;
        let clock = Clock::open();
        let (callers, bodies) = bind_callers(&settings, clock)?;
        let (links, link_listener) = duty::bind_listener(common.links)?;
        let addresses = (admin.address, callers.address);
        let incarnation = Incarnation::started_at(clock.now());
        let hello = Hello {
            incarnation,
            instance: common.instance.clone(),
            key: common.link_key(),
            role: Role::Entry,
        };
        let request_ids = RequestIds::new(clock, incarnation, &common.instance);
        let forward = Forwarder {
            clock,
            hello: hello.clone(),
        };
        let (traffic_tx, commands) = mpsc::channel(command::MAX_QUEUED_COMMANDS);
        let (rollout_tx, requests) = mpsc::channel(rollout::MAX_QUEUED_REQUESTS);
        let (delivered_tx, delivered) = mpsc::channel(MAX_QUEUED_DELIVERIES);
        let (directory_tx, directory) = watch::channel(Arc::new(Directory::default()));
        let (view_tx, view) = watch::channel(Arc::new(View::default()));
        let (claim_tx, claims) = mpsc::channel(claimer::MAX_QUEUED_CLAIMS);
        let app = AppApi {
            bodies,
            claims: claim_tx,
            clock,
            delivered: delivered_tx,
            directory: directory.clone(),
            request_ids: request_ids.clone(),
            traffic: traffic_tx.clone(),
        };
        let trainers = TrainerApi {
            forward: forward.clone(),
            rollout: rollout_tx,
        };
        let peers = PeerApi {
            directory: directory.clone(),
            hello: hello.clone(),
            trainers: trainers.clone(),
        };
        let me = Claimant {
            address: links.to_string(),
            holder: common.instance.clone(),
            incarnation,
        };
        tracing::info!(
            instance = common.instance,
            callers = %addresses.1,
            links = %links,
            admin = %addresses.0,
            "entry started"
        );

        let supervisor = handle.supervisor().clone();
        let close_delay = common.drain.close_delay;
        let traffic = traffic::TrafficInputs {
            commands,
            directory: directory.clone(),
            hello,
            request_ids: request_ids.clone(),
            settings: settings.clone(),
            view: view_tx,
        };
        handle.add(traffic.spawn(&supervisor)?);
        handle.add(duty::spawn("learner", &supervisor, {
            let settings = settings.clone();
            move |context| learner::run(context, settings, forward, directory_tx)
        })?);
        handle.add(duty::spawn("claims", &supervisor, {
            let (platform, instance) = (common.platform, common.instance.clone());
            move |context| claimer::run(context, platform, instance, claims)
        })?);
        handle.add(duty::spawn("peers", &supervisor, move |context| {
            peer_server::run(context, link_listener, peers)
        })?);
        let rollout = RolloutInputs {
            clock,
            request_ids,
            me,
            platform: settings.common.platform,
            requests,
            traffic: traffic_tx.clone(),
        };
        handle.add(rollout.spawn(&supervisor, directory.clone(), view)?);
        handle.add(duty::spawn("front", &supervisor, move |context| {
            front::run(context, callers, close_delay, app, trainers, delivered)
        })?);
        let health = handle.health();
        handle.add(duty::spawn("admin", &supervisor, move |context| {
            let ready = move || directory.borrow().is_loaded();
            duty::serve_admin(context, admin, health, ready, explain::routes(traffic_tx))
        })?);
        Ok(Self {
            admin: addresses.0,
            callers: addresses.1,
            handle,
            links,
        })
    }
}

/// Binds the listener for callers and trainers, and opens the memory for their bodies.
fn bind_callers(settings: &EntrySettings, clock: Clock) -> Result<(HttpServer, Bodies), DutyError> {
    let descriptors = max_connections(settings.limits.descriptors());
    let limits = HttpLimits {
        listener: "callers",
        max_connections: descriptors.min(connections_in_memory(settings.limits.memory())),
        receive_buffer: Some(SMALL_BUFFER),
        ..HttpLimits::default()
    };
    let memory = Memory::open(settings.limits.memory(), clock);
    let callers = HttpServer::bind(settings.callers, limits)?;
    Ok((callers.count_requests(memory.clone()), Bodies { memory }))
}
