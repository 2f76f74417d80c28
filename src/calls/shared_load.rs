//! What this process tells other instances of its calls and of the servers, and what it asks
//! of them.

use super::{
    Dispatcher,
    dispatcher::State, //
};
use crate::{
    base::Millis,
    policy::{
        conditions::{ServerState, ServiceDemand},
        server_limit::ServerLimit, //
    },
    routing::{Server, ServerIncarnation},
    view::Conditions, //
};

/// The number of workspaces of which other instances are told.
const MAX_SHARED_WORKSPACES: usize = 8;

impl Dispatcher {
    /// Tells other instances of this one's calls to `service`.
    pub(super) fn share_demand(&self, service: &str) {
        let Some(conditions) = self.conditions() else {
            return;
        };
        let demand = {
            let mut state = self.state();
            let gate = state.gate(service);
            let mut workspaces: Vec<(u32, &String)> = gate
                .queue
                .running_by_workspace()
                .iter()
                .filter_map(|(hash, count)| Some((*count, gate.names.get(hash)?)))
                .collect();
            workspaces.sort_by(|a, b| b.cmp(a));
            workspaces.truncate(MAX_SHARED_WORKSPACES);
            let workspaces = workspaces.into_iter();
            ServiceDemand {
                running: gate.queue.running(),
                waiting: gate.queue.waiting(),
                workspaces: workspaces
                    .map(|(count, name)| (name.clone(), count))
                    .collect(),
            }
        };
        conditions.set_demand(service, demand, self.site.now());
    }

    /// What instances tell each other, if they do.
    pub(super) fn conditions(&self) -> Option<&Conditions> {
        let on = self.load.features.conditions;
        on.then_some(&*self.load.conditions)
    }

    /// The number of processes that call `service`; 0 if unknown.
    pub(super) fn callers(&self, service: &str, now: Millis) -> u32 {
        let conditions = self.conditions();
        conditions.map_or(0, |conditions| conditions.callers(service, now))
    }

    /// Tells other instances of `server` if it is silent or refuses all calls.
    pub(super) fn report_condition(&self, state: &mut State, server: &Server, now: Millis) {
        let typical = state.typical_latency(&server.service);
        let limit = state.limits.get_mut(&server.incarnation);
        let report = limit.and_then(|limit| limit.take_report(typical, now));
        if let Some((report, conditions)) = report.zip(self.conditions()) {
            tracing::info!(
                server = server.incarnation.id,
                ?report,
                "server condition found"
            );
            conditions.report_server(&server.incarnation, report, now);
        }
    }

    /// Records that `server` answered, which ends what other instances may have found out.
    pub(super) fn clear_condition(&self, state: &mut State, server: &Server, now: Millis) {
        let Some(conditions) = self.conditions() else {
            return;
        };
        let limit = state.limits.get_mut(&server.incarnation);
        let reported = limit.is_some_and(ServerLimit::take_reported);
        if reported || conditions.server(&server.incarnation, now).is_some() {
            conditions.clear_server(&server.incarnation, now);
        }
    }

    /// Tells other instances of a server whose circuit breaker opened.
    pub(super) fn report_failures(&self, server: &ServerIncarnation, silent: bool, now: Millis) {
        let state = match silent {
            true => ServerState::Unresponsive,
            false => ServerState::Failing,
        };
        if let Some(conditions) = self.conditions() {
            conditions.report_server(server, state, now);
        }
    }
}
