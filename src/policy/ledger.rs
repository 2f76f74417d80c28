//! Keeps the accounts of the latest requests in bounded memory.

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

/// The accounts of the latest requests; a new one replaces the oldest.
#[derive(Debug)]
pub struct Ledger {
    accounts: HashMap<RequestId, Account>,
    limit: usize,
    /// In the order in which the accounts were opened.
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

    /// Adds `event` to the account of `request`, if it is still kept.
    pub fn record(&mut self, now: Millis, request: RequestId, event: Event) {
        if let Some(account) = self.accounts.get_mut(&request) {
            account.record(now, event);
        }
    }

    /// Opens an account for `request`, unless it has one.
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
