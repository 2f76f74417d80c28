//! The latest requests' accounts, in bounded memory.

use crate::base::{
    Account,
    Event,
    Millis,
    RequestId, //
};
use std::collections::{
    HashMap,
    VecDeque, //
};

/// Accounts of the latest requests; the oldest gives way.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<RequestId, Account>,
    limit: usize,
    order: VecDeque<RequestId>,
}

impl Ledger {
    /// Keeps at most `limit` accounts.
    pub fn new(limit: usize) -> Self {
        Self {
            accounts: HashMap::new(),
            limit,
            order: VecDeque::new(),
        }
    }

    /// The account of `request`, if it is still kept.
    pub fn account(&self, request: RequestId) -> Option<&Account> {
        self.accounts.get(&request)
    }

    /// Notes `event`; a request that is not kept is left alone.
    pub fn note(&mut self, now: Millis, request: RequestId, event: Event) {
        if let Some(account) = self.accounts.get_mut(&request) {
            account.note(now, event);
        }
    }

    /// Begins an account; one that is kept already goes on.
    pub fn open(&mut self, request: RequestId, team: &str, class: &str) {
        if self.accounts.contains_key(&request) {
            return;
        }
        if self.order.len() >= self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.accounts.remove(&oldest);
        }
        self.order.push_back(request);
        self.accounts
            .insert(request, Account::new(request, team, class));
    }
}
