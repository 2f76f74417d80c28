//! A running entry.

use super::{
    app_api::AppApi,
    claimer,
    command,
    directory::Directory,
    explain,
    forward::Forward,
    front,
    issue::Issue,
    learner,
    peer_door::{self, Peers},
    rollout::{self, Seed},
    traffic,
    trainer_api::TrainerApi,
    view::View, //
};
use crate::{
    base::{Clock, Incarnation},
    duty::{self, DutyError, HttpLimits, HttpServer, ProgramHandle},
    policy::lease::Claimant,
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

/// A running `redwing-entry`; dropping it ends it.
pub struct Entry {
    pub admin: SocketAddr,
    pub callers: SocketAddr,
    pub handle: ProgramHandle,
    pub links: SocketAddr,
}

/// The deliveries that may wait to be told.
const DELIVERED: usize = 4_096;

impl Entry {
    /// Starts an entry.
    pub fn open(settings: EntrySettings) -> Result<Self, DutyError> {
        let common = &settings.common;
        let mut handle = ProgramHandle::open(common.drain.timeout)?;
        let admin = HttpServer::bind(common.admin, HttpLimits::default())?;
        let callers = HttpServer::bind(settings.callers, HttpLimits::default())?;
        let (links, door) = duty::bind_listener(common.links)?;
        let entry = (admin.address, callers.address);
        let clock = Clock::open();
        let incarnation = Incarnation::started_at(clock.now());
        let hello = Hello {
            incarnation,
            instance: common.instance.clone(),
            key: common.link_key(),
            role: Role::Entry,
        };
        let issue = Issue::new(clock, incarnation, &common.instance);
        let forward = Forward {
            clock,
            hello: hello.clone(),
        };
        let (traffic_ring, commands) = mpsc::channel(command::RING);
        let (rollout_ring, questions) = mpsc::channel(rollout::RING);
        let (delivered_ring, delivered) = mpsc::channel(DELIVERED);
        let (directory_sender, directory) = watch::channel(Arc::new(Directory::default()));
        let (view_sender, view) = watch::channel(Arc::new(View::default()));
        let (claim_ring, claims) = mpsc::channel(claimer::RING);
        let app = AppApi {
            claims: claim_ring,
            clock,
            delivered: delivered_ring,
            directory: directory.clone(),
            issue: issue.clone(),
            traffic: traffic_ring.clone(),
        };
        let trainers = TrainerApi {
            forward: forward.clone(),
            rollout: rollout_ring,
        };
        let peers = Peers {
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
            callers = %entry.1,
            links = %links,
            admin = %entry.0,
            "entry up"
        );

        let supervisor = handle.supervisor().clone();
        let leave = common.drain.close_delay;
        let traffic = traffic::Seed {
            commands,
            directory: directory.clone(),
            hello,
            issue: issue.clone(),
            settings: settings.clone(),
            view: view_sender,
        };
        handle.add(traffic.spawn(&supervisor)?);
        handle.add(duty::spawn("learner", &supervisor, {
            let settings = settings.clone();
            move |context| learner::run(context, settings, forward, directory_sender)
        })?);
        handle.add(duty::spawn("claims", &supervisor, {
            let (platform, instance) = (common.platform, common.instance.clone());
            move |context| claimer::run(context, platform, instance, claims)
        })?);
        handle.add(duty::spawn("peers", &supervisor, move |context| {
            peer_door::run(context, door, peers)
        })?);
        let rollout = Seed {
            clock,
            issue,
            me,
            platform: settings.common.platform,
            questions,
            traffic: traffic_ring.clone(),
        };
        handle.add(rollout.spawn(&supervisor, directory.clone(), view)?);
        handle.add(duty::spawn("front", &supervisor, move |context| {
            front::run(context, callers, leave, app, trainers, delivered)
        })?);
        let health = handle.health();
        handle.add(duty::spawn("admin", &supervisor, move |context| {
            let ready = move || directory.borrow().is_known();
            duty::serve_admin(context, admin, health, ready, explain::route(traffic_ring))
        })?);
        Ok(Self {
            admin: entry.0,
            callers: entry.1,
            handle,
            links,
        })
    }
}
