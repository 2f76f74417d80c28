//! Explains what happened to one request, from the accounts that this entry and the agents
//! keep in memory.

use super::{
    command::Command,
    traffic::Traffic, //
};
use crate::{
    base::{Account, Cause, Event, Failure, Millis, RequestId},
    duty::{AdminRoute, json, problem},
    policy::explanation::{Explanation, conclude},
    wire::{Slot, ToAgent}, //
};
use hyper::StatusCode;
use std::{
    cell::RefCell,
    rc::Rc,
    sync::Arc, //
};
use tokio::sync::{
    mpsc,
    oneshot, //
};

/// A query to one agent that is not answered yet.
pub(super) struct PendingQuery {
    explanation: Rc<RefCell<OpenExplanation>>,
    expires: Millis,
}

/// An explanation that waits for accounts from agents.
struct OpenExplanation {
    /// The accounts of the agents that have answered.
    agents: Vec<Account>,
    /// The account of this entry.
    entry: Option<Account>,
    /// The number of open queries.
    unanswered: usize,
    reply: Option<oneshot::Sender<Result<Explanation, Failure>>>,
}

/// How long to wait for an agent's answer.
const AGENT_TIMEOUT: Millis = Millis(500);

impl Traffic {
    /// Starts to explain `request`; the explanation is sent to `reply` when it is complete.
    pub(super) fn explain(
        &mut self,
        request: RequestId,
        reply: oneshot::Sender<Result<Explanation, Failure>>,
    ) {
        if self.request_ids.is_forged(request) {
            let detail = format!("this entry never issued `{request}`");
            let _ = reply.send(Err(Failure::not_run(Cause::NotFound, detail)));
            return;
        }
        let entry = self.ledger.account(request).cloned();
        let explanation = Rc::new(RefCell::new(OpenExplanation {
            agents: Vec::new(),
            unanswered: 0,
            reply: Some(reply),
            entry,
        }));
        self.ask_agents(request, &explanation);
        reply_if_complete(&explanation);
    }

    /// Adds an agent's account to the explanation that queried it.
    pub(super) fn on_account(&mut self, slot: Slot, account: Option<Account>) {
        if let Some(query) = self.queries.remove(&slot) {
            let mut explanation = query.explanation.borrow_mut();
            explanation.agents.extend(account);
            explanation.unanswered -= 1;
            drop(explanation);
            reply_if_complete(&query.explanation);
        }
    }

    /// Gives up the queries that have timed out; their explanations are completed without
    /// the accounts of these agents.
    pub(super) fn expire_queries(&mut self, now: Millis) {
        for (_, query) in self.queries.extract_if(|_, query| query.expires <= now) {
            query.explanation.borrow_mut().unanswered -= 1;
            reply_if_complete(&query.explanation);
        }
    }

    /// Queries the agents to which the request was routed, or all agents if this entry has
    /// no account of it.
    fn ask_agents(&mut self, request: RequestId, explanation: &Rc<RefCell<OpenExplanation>>) {
        let routed: Option<Vec<String>> = explanation.borrow().entry.as_ref().map(|account| {
            let events = account.events.iter();
            let servers = events.filter_map(|(_, event)| match event {
                Event::Routed { server, .. } => Some(server.clone()),
                _ => None,
            });
            servers.collect()
        });
        let links: Vec<_> = self
            .servers
            .values()
            .filter(|server| {
                let name = &server.instance.name;
                routed.as_ref().is_none_or(|routed| routed.contains(name))
            })
            .filter_map(|server| server.link.clone())
            .collect();
        for link in links {
            let slot = self.next_slot();
            if link.try_send(ToAgent::Query { slot, request }) {
                explanation.borrow_mut().unanswered += 1;
                let query = PendingQuery {
                    explanation: explanation.clone(),
                    expires: self.context.clock.now() + AGENT_TIMEOUT,
                };
                self.queries.insert(slot, query);
            }
        }
    }
}

/// Sends the explanation if no query for it is open.
fn reply_if_complete(explanation: &Rc<RefCell<OpenExplanation>>) {
    let mut explanation = explanation.borrow_mut();
    if explanation.unanswered > 0 {
        return;
    }
    if let Some(reply) = explanation.reply.take() {
        let agents = std::mem::take(&mut explanation.agents);
        let _ = reply.send(Ok(conclude(explanation.entry.take(), agents)));
    }
}

/// The entry's own routes in the HTTP API for operators: `/v1/fleet` and
/// `/v1/explain/REQUEST`.
pub(super) fn routes(traffic: mpsc::Sender<Command>) -> AdminRoute {
    Arc::new(move |request| {
        let traffic = traffic.clone();
        let path = request.uri().path().to_owned();
        Box::pin(async move {
            if path == "/v1/fleet" {
                let (reply, answer) = oneshot::channel();
                traffic.try_send(Command::View(reply)).ok()?;
                return Some(json(StatusCode::OK, &answer.await.ok()?));
            }
            let id = match path.strip_prefix("/v1/explain/")?.parse::<RequestId>() {
                Ok(id) => id,
                Err(error) => {
                    let failure = Failure::not_run(Cause::BadRequest, error.to_string());
                    return Some(problem(&failure, None));
                }
            };
            let (reply, answer) = oneshot::channel();
            traffic.try_send(Command::Explain(id, reply)).ok()?;
            Some(match answer.await.ok()? {
                Ok(explanation) => json(StatusCode::OK, &explanation),
                Err(failure) => problem(&failure, Some(id)),
            })
        })
    })
}
