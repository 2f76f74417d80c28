//! Starts an agent's duties.

use super::{
    accounts,
    link_listener,
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

/// A running agent; dropping it stops the agent.
pub struct Agent {
    /// The address of the admin HTTP server.
    pub admin: SocketAddr,
    pub handle: ProgramHandle,
    /// The address at which entries open links.
    pub links: SocketAddr,
}

/// The most events that may wait for the work duty. When the queue is full, the links stop
/// reading, which their entries see as back-pressure.
const MAX_QUEUED_EVENTS: usize = 4_096;

impl Agent {
    /// Starts an agent with its duties `door` (accepts links), `work` and `admin`.
    pub fn open(settings: AgentSettings) -> Result<Self, DutyError> {
        let mut handle = ProgramHandle::open(settings.common.drain.timeout)?;
        let admin = HttpServer::bind(settings.common.admin, HttpLimits::admin("admin"))?;
        let listener = link_listener::bind(settings.common.links)?;
        let (admin_address, links) = (admin.address, listener.address);
        let incarnation = Incarnation::started_at(Clock::open().now());
        let hello = Hello {
            incarnation,
            instance: settings.common.instance.clone(),
            key: settings.common.link_key(),
            role: Role::Agent,
        };
        let usable = Arc::new(AtomicBool::new(false));
        let (event_sender, events) = mpsc::channel::<WorkEvent>(MAX_QUEUED_EVENTS);
        let (query_sender, queries) = mpsc::channel(accounts::MAX_QUEUED_QUERIES);
        tracing::info!(
            instance = settings.common.instance,
            backend = %settings.backend.address,
            links = %links,
            admin = %admin_address,
            "agent started"
        );

        let supervisor = handle.supervisor().clone();
        handle.add(duty::spawn("door", &supervisor, move |context| {
            link_listener::run(context, listener, hello, event_sender)
        })?);
        handle.add(duty::spawn("work", &supervisor, {
            let usable = usable.clone();
            move |context| work::run(context, settings, events, queries, usable)
        })?);
        let health = handle.health();
        handle.add(duty::spawn("admin", &supervisor, move |context| {
            let ready = move || usable.load(Ordering::Relaxed);
            duty::serve_admin(
                context,
                admin,
                health,
                ready,
                accounts::admin_route(query_sender),
            )
        })?);
        Ok(Self {
            admin: admin_address,
            handle,
            links,
        })
    }
}
