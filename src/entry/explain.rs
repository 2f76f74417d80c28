//! What became of one request, from the live processes.

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

/// One agent's part in an open question.
pub(super) struct Asked {
    question: Rc<RefCell<Question>>,
    until: Millis,
}

struct Question {
    agents: Vec<Account>,
    entry: Option<Account>,
    open: usize,
    reply: Option<oneshot::Sender<Result<Explanation, Failure>>>,
}

/// How long agents' answers are waited for.
const WAIT: Millis = Millis(500);

impl Traffic {
    /// Begins to find out what became of `request`.
    pub(super) fn explain(
        &mut self,
        request: RequestId,
        reply: oneshot::Sender<Result<Explanation, Failure>>,
    ) {
        if self.issue.is_forged(request) {
            let detail = format!("this entry never issued `{request}`");
            let _ = reply.send(Err(Failure::not_run(Cause::NotFound, detail)));
            return;
        }
        let entry = self.ledger.account(request).cloned();
        let question = Rc::new(RefCell::new(Question {
            agents: Vec::new(),
            open: 0,
            reply: Some(reply),
            entry,
        }));
        self.ask_agents(request, &question);
        settle(&question);
    }

    /// An agent's answer to a question.
    pub(super) fn on_account(&mut self, slot: Slot, account: Option<Account>) {
        if let Some(asked) = self.queries.remove(&slot) {
            let mut question = asked.question.borrow_mut();
            question.agents.extend(account);
            question.open -= 1;
            drop(question);
            settle(&asked.question);
        }
    }

    /// Answers the questions whose agents stay silent without them.
    pub(super) fn expire_queries(&mut self, now: Millis) {
        for (_, asked) in self.queries.extract_if(|_, asked| asked.until <= now) {
            asked.question.borrow_mut().open -= 1;
            settle(&asked.question);
        }
    }

    /// Asks the agents that had the request, or all when that isn't known.
    fn ask_agents(&mut self, request: RequestId, question: &Rc<RefCell<Question>>) {
        let routed: Option<Vec<String>> = question.borrow().entry.as_ref().map(|account| {
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
            let slot = self.fresh_slot();
            if link.try_send(ToAgent::Query { slot, request }) {
                question.borrow_mut().open += 1;
                let asked = Asked {
                    question: question.clone(),
                    until: self.context.clock.now() + WAIT,
                };
                self.queries.insert(slot, asked);
            }
        }
    }
}

/// Answers a question to which all agents have answered.
fn settle(question: &Rc<RefCell<Question>>) {
    let mut question = question.borrow_mut();
    if question.open > 0 {
        return;
    }
    if let Some(reply) = question.reply.take() {
        let agents = std::mem::take(&mut question.agents);
        let _ = reply.send(Ok(conclude(question.entry.take(), agents)));
    }
}

/// The entry's own routes on the operators' HTTP.
pub(super) fn route(traffic: mpsc::Sender<Command>) -> AdminRoute {
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
