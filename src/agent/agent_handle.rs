//! A running agent.

use super::{
    accounts,
    door,
    work::{self, WorkEvent}, //
};
use crate::{
    base::{Clock, Incarnation},
    duty::{self, DutyError, HttpLimits, HttpServer, ProgramHandle},
    settings::AgentSettings,
    wire::{Hello, Role}, //
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering}, //
    },
};
use tokio::sync::mpsc;

/// A running `redwing-agent`; dropping it ends it.
pub struct Agent {
    pub admin: SocketAddr,
    pub handle: ProgramHandle,
    pub links: SocketAddr,
}

/// The events that may wait for the work duty. When the ring is full the
/// links stop reading, which their entries see as ordinary back-pressure.
const WORK_RING: usize = 4_096;

impl Agent {
    /// Starts an agent.
    pub fn open(settings: AgentSettings) -> Result<Self, DutyError> {
        let mut handle = ProgramHandle::open(settings.common.drain.timeout)?;
        let admin = HttpServer::bind(settings.common.admin, HttpLimits::default())?;
        let listener = door::bind(settings.common.links)?;
        let (admin_address, links) = (admin.address, listener.address);
        let incarnation = Incarnation::started_at(Clock::open().now());
        let hello = Hello {
            incarnation,
            instance: settings.common.instance.clone(),
            key: settings.common.link_key(),
            role: Role::Agent,
        };
        let usable = Arc::new(AtomicBool::new(false));
        let (work_ring, work_inbox) = mpsc::channel::<WorkEvent>(WORK_RING);
        let (query_ring, queries) = mpsc::channel(accounts::RING);
        tracing::info!(
            instance = settings.common.instance,
            backend = %settings.backend.address,
            links = %links,
            admin = %admin_address,
            "agent up"
        );

        let supervisor = handle.supervisor().clone();
        handle.add(duty::spawn("door", &supervisor, move |context| {
            door::run(context, listener, hello, work_ring)
        })?);
        handle.add(duty::spawn("work", &supervisor, {
            let usable = usable.clone();
            move |context| work::run(context, settings, work_inbox, queries, usable)
        })?);
        let health = handle.health();
        handle.add(duty::spawn("admin", &supervisor, move |context| {
            let ready = move || usable.load(Ordering::Relaxed);
            duty::serve_admin(context, admin, health, ready, accounts::route(query_ring))
        })?);
        Ok(Self {
            admin: admin_address,
            handle,
            links,
        })
    }
}
