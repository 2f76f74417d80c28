//! The count of a call or stream at a server.

use super::{
    Dispatcher,
    dispatcher::State, //
};
use crate::{
    base::Millis,
    policy::call_queue::{Urgency, WaitingCall},
    routing::Server, //
};
use std::sync::{
    Arc,
    Weak, //
};

/// Counts a call or stream at a server until it is dropped.
pub(super) struct Permit {
    pub(super) dispatcher: Weak<Dispatcher>,
    pub(super) is_stream: bool,
    pub(super) server: Arc<Server>,
    /// Whether the call has not been sent yet.
    pub(super) unsent: bool,
    pub(super) urgency: Urgency,
    pub(super) workspace: u64,
}

impl Permit {
    /// Records that the call is sent.
    pub(super) fn mark_sent(&mut self) {
        let Some(dispatcher) = self.dispatcher.upgrade().filter(|_| self.unsent) else {
            return;
        };
        self.unsent = false;
        dispatcher.state().end_unsent(&self.server.incarnation);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if let Some(dispatcher) = self.dispatcher.upgrade() {
            dispatcher.release(self);
        }
    }
}

impl Dispatcher {
    /// Counts `call` at `server`, where it is about to be sent.
    pub(super) fn begin(
        &self,
        state: &mut State,
        service: &str,
        server: &Arc<Server>,
        call: &WaitingCall,
        now: Millis,
    ) -> Permit {
        let callers = self.callers(service, now);
        state.clean_limits(now);
        state.limit(server, callers).begin(now);
        if let Some(conditions) = self.conditions() {
            conditions.begin_trial(&server.incarnation, now);
        }
        let gate = state.gate(service);
        gate.queue.begin(call.workspace, call.urgency);
        *state.unsent.entry(server.incarnation.clone()).or_default() += 1;
        Permit {
            dispatcher: self.weak_self.clone(),
            is_stream: false,
            server: server.clone(),
            unsent: true,
            urgency: call.urgency,
            workspace: call.workspace,
        }
    }

    /// Stops counting the call of `permit`, and looks at the queue.
    fn release(&self, permit: &mut Permit) {
        let service = &permit.server.service;
        {
            let mut state = self.state();
            if permit.unsent {
                state.end_unsent(&permit.server.incarnation);
            }
            if let Some(limit) = state.limits.get_mut(&permit.server.incarnation) {
                match permit.is_stream {
                    true => limit.end_stream(),
                    false => limit.end(),
                }
            }
            let gate = state.gate(service);
            gate.queue.end(permit.workspace, permit.urgency);
            if gate.queue.waiting() == 0 {
                let running = gate.queue.running_by_workspace();
                gate.names.retain(|name, _| running.contains_key(name));
            }
        }
        self.look(service);
        self.share_demand(service);
    }
}
