//! What is known of the servers of a service at the moment when calls are to be sent.

use super::{
    Dispatcher,
    dispatcher::State,
    gate::Unsent, //
};
use crate::{
    base::Millis,
    net::Peer,
    policy::{
        call_queue::{Supply, Urgency, WaitingCall},
        server_choice::{Candidate, choose, choose_uneven},
        server_limit::{Outside, Room, ServerLimit}, //
    },
    routing::{Server, ServerIncarnation}, //
};
use std::sync::Arc;

/// A server with what is known of it at one moment.
pub(super) struct View {
    pub(super) candidate: Candidate,
    /// Whether its client may send another call.
    pub(super) has_capacity: bool,
    pub(super) limit: ServerLimit,
    pub(super) outside: Outside,
    pub(super) server: Arc<Server>,
}

impl View {
    pub(super) fn room(&self, urgency: Urgency, now: Millis) -> Room {
        match self.limit.room(urgency, self.outside, now) {
            Room::Free if !self.has_capacity => Room::Full,
            room => room,
        }
    }
}

impl Dispatcher {
    /// The servers of `service` with what is known of them. Reports silent servers and those
    /// that refuse all calls to other instances.
    pub(super) fn views(
        &self,
        state: &mut State,
        service: &str,
        servers: &[Arc<Server>],
        now: Millis,
    ) -> Vec<View> {
        let callers = self.callers(service, now);
        let typical = state.typical_latency(service);
        servers
            .iter()
            .map(|server| {
                let incarnation = &server.incarnation;
                let limit = *state.limit(server, callers);
                self.report_condition(state, server, now);
                let peer = state.current_peer(server);
                let has_capacity = peer.is_none_or(Peer::has_capacity);
                let connected = peer.is_some_and(Peer::is_connected);
                let candidate =
                    state
                        .servers
                        .candidate(server, &self.data_centre, false, typical, now);
                let conditions = self.conditions();
                let shared = conditions.and_then(|conditions| conditions.server(incarnation, now));
                View {
                    has_capacity,
                    limit,
                    outside: Outside {
                        selected: conditions.is_none_or(|conditions| {
                            conditions.is_trial_due(incarnation, service, now)
                        }),
                        shared: shared.map(|shared| (shared.state, shared.age)),
                        trusted: candidate.trusted,
                        typical,
                    },
                    candidate: Candidate {
                        connected,
                        ..candidate
                    },
                    server: server.clone(),
                }
            })
            .collect()
    }
}

/// What the servers can take of calls of `urgency`.
pub(super) fn supply(views: &[View], urgency: Urgency, typical: f64, now: Millis) -> Supply {
    let servers = views.iter();
    let servers = servers.map(|view| (view.limit, view.room(urgency, now)));
    Supply::of(servers, typical)
}

/// Chooses among the servers with room. Those in `avoid` get the call only if no other server
/// is expected to answer. Without `connect`, only servers with an idle connection get it.
pub(super) fn choose_view(
    views: &[View],
    unsent: &Unsent,
    call: &WaitingCall,
    avoid: &[ServerIncarnation],
    connect: bool,
    uneven: bool,
    now: Millis,
) -> Option<usize> {
    let avoided = |view: &View| avoid.contains(&view.server.incarnation);
    let usable = |view: &View| view.room(call.urgency, now) != Room::Lost;
    let only_avoided = !views.iter().any(|view| usable(view) && !avoided(view));
    let idle =
        |view: &View| view.candidate.connected && !unsent.contains_key(&view.server.incarnation);
    let mut free: Vec<usize> = (0..views.len())
        .filter(|index| {
            let view = &views[*index];
            view.room(call.urgency, now) == Room::Free && (only_avoided || !avoided(view))
        })
        .collect();
    if call.urgency == Urgency::Background {
        let connected = free.iter().copied().filter(|index| idle(&views[*index]));
        let connected: Vec<usize> = connected.collect();
        if !connected.is_empty() || !connect {
            free = connected;
        }
    }
    let candidates: Vec<Candidate> = free
        .iter()
        .map(|index| Candidate {
            tried: avoided(&views[*index]),
            ..views[*index].candidate
        })
        .collect();
    let chosen = match uneven {
        true => choose_uneven(&candidates, call.spread, call.target.since(now))?,
        false => choose(&candidates, call.spread)?,
    };
    free.get(chosen).copied()
}
