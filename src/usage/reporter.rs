//! Reports use to the platform, by one gateway at a time.

use super::{
    counter::Counter,
    rows::{
        Author,
        REPORTS,
        Report,
        USAGE,
        author_of,
        count_parts,
        lease_key,
        report_key,
        window_prefix, //
    },
};
use crate::{
    base::{Clock, Fence, Incarnation, Millis, stable_hash},
    batch::{decode, encode},
    net::Peer,
    platform::{ROWS_MOST, Store, UsageReport},
    policy::{
        lease::{Claimant, HeldLease, Lease, LeaseAction, LeaseWatch},
        usage::{Part, may_sum, sum}, //
    },
    store::{Key, Outcome, StoreError, Transaction}, //
};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc, //
};

/// Where reports go and how long the lease of reporting lasts.
#[derive(Clone, Copy, Debug)]
pub struct Reporting {
    pub address: SocketAddr,
    /// Nobody takes over from a holder that was heard of within this time.
    pub lease: Millis,
}

/// How often the lease is looked at by who does not hold it, and reports are planned
/// by who does.
const LOOK: Millis = Millis(1_000);
const PLAN: Millis = Millis(250);

/// How long the platform has to take a report. The send ends before the lease does.
const SEND_WITHIN: Millis = Millis(800);

/// How much of the lease is left unused: the time to notice that it is over.
const LEASE_SLACK: Millis = Millis(400);

/// Windows that are kept after they were reported, and removed then.
const KEPT: u64 = 24;

/// The most rows of one removal; the store takes 100.
const REMOVED_MOST: usize = 90;

/// Reports the use that all gateways count, for good, while this one holds the lease.
pub async fn report(counter: Arc<Counter>, reporting: Reporting, store: Store, clock: Clock) {
    let author = counter.author.clone();
    let me = Claimant {
        address: String::new(),
        holder: author.instance.clone(),
        incarnation: Incarnation(author.started.0),
    };
    // Gateways that start together don't ask together.
    let spread = stable_hash(&[author.instance.as_bytes()]) % LOOK.0;
    tokio::time::sleep(Millis(spread).as_duration()).await;
    let mut reporter = Reporter {
        author,
        clock,
        counter,
        held: None,
        me,
        peer: Peer::open(reporting.address, clock),
        reporting,
        store,
        watch: LeaseWatch::default(),
    };
    let mut windows: Option<Reports> = None;
    loop {
        reporter.look().await;
        let wait = match reporter.fence() {
            Some(fence) => {
                reporter.plan(fence, &mut windows).await;
                PLAN
            }
            None => {
                windows = None;
                LOOK
            }
        };
        tokio::time::sleep(wait.as_duration()).await;
    }
}

/// Windows that were summed up, by whoever held the lease.
struct Reports(BTreeMap<u64, (u64, Report)>);

struct Reporter {
    author: Author,
    clock: Clock,
    counter: Arc<Counter>,
    held: Option<HeldLease>,
    me: Claimant,
    peer: Peer,
    reporting: Reporting,
    store: Store,
    watch: LeaseWatch,
}

impl Reporter {
    /// Looks at the lease; takes it when it is free, renews it when that is due.
    async fn look(&mut self) {
        let asked = self.clock.boottime();
        if self.held.is_some_and(|held| asked.since(held.since) < LOOK) {
            return;
        }
        let row = match self.store.row(&lease_key()).await {
            Ok(row) => row,
            Err(error) => {
                tracing::debug!(%error, "the lease of reporting is not seen");
                return;
            }
        };
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let value = row.and_then(|row| row.value);
        let lease = value.and_then(|value| decode::<Lease>("lease", &value));
        self.watch.observe(self.clock.boottime(), lease.clone());
        if !lease.is_some_and(|lease| self.me.holds(&lease)) {
            self.lose();
        }
        let asked = self.clock.boottime();
        let LeaseAction::Write(next) = self.watch.decide(asked, &self.me, self.reporting.lease)
        else {
            return;
        };
        let write = Transaction {
            expect: vec![(lease_key(), revision)],
            remove: Vec::new(),
            set: vec![(lease_key(), encode(&next))],
        };
        match self.store.transact(&write).await {
            Ok(Outcome::Done { .. }) => {
                if self.held.is_none() {
                    let (fence, instance) = (next.epoch, &self.author.instance);
                    tracing::info!(fence, instance, "holds the lease of reporting");
                }
                self.held = Some(HeldLease {
                    epoch: next.epoch,
                    since: asked,
                });
                self.watch.observe(self.clock.boottime(), Some(next));
            }
            Ok(Outcome::Conflict { .. }) => self.lose(),
            // It may be renewed or not; what was held before lasts as it did.
            Err(error) => tracing::info!(%error, "the lease of reporting is not renewed"),
        }
    }

    fn lose(&mut self) {
        if let Some(held) = self.held.take() {
            let fence = held.epoch;
            tracing::info!(fence, "no longer holds the lease of reporting");
        }
    }

    /// The number under which this gateway may send now; `None` when it may not.
    ///
    /// A holder that was frozen, or cut off, finds its lease over here, and sends
    /// nothing beside its successor: a send ends before the lease does.
    fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        let now = self.clock.boottime();
        let allowed = held.allows(now, SEND_WITHIN + LEASE_SLACK, self.reporting.lease);
        allowed.then_some(held.epoch)
    }

    /// Sums up the windows that are over, and sends what was not taken yet.
    async fn plan(&mut self, fence: Fence, known: &mut Option<Reports>) {
        if let Err(error) = self.plan_once(fence, known).await {
            tracing::info!(%error, "use is not reported yet");
        }
    }

    async fn plan_once(
        &mut self,
        fence: Fence,
        known: &mut Option<Reports>,
    ) -> Result<(), StoreError> {
        let reports = match known {
            Some(reports) => reports,
            None => known.insert(self.list().await?),
        };
        let windows = self.counter.windows;
        let now = self.counter.clocks.now();
        let first = windows.at(self.author.started);
        let next = reports.0.last_key_value();
        let next = next.map_or(first, |(window, _)| window + 1);
        if windows.end(next) <= now
            && let Some(report) = self.sum_up(next, now).await?
        {
            reports.0.insert(next, report);
        }
        self.send_all(fence, reports).await?;
        self.forget(reports).await
    }

    async fn list(&self) -> Result<Reports, StoreError> {
        let listing = self.store.whole_part(USAGE, REPORTS).await?;
        let rows = listing.rows.into_iter().filter_map(|row| {
            let window = row.key.parse().ok()?;
            let report = decode::<Report>("report", &row.value?)?;
            Some((window, (row.revision, report)))
        });
        Ok(Reports(rows.collect()))
    }

    /// Fixes what is reported of `window`, if all that counts is in.
    async fn sum_up(&self, window: u64, now: Millis) -> Result<Option<(u64, Report)>, StoreError> {
        let end = self.counter.windows.end(window);
        if !may_sum(end, 0, now) {
            return Ok(None);
        }
        let mut gateways = self.counter.clocks.heard(&self.author).await?;
        gateways.push(self.author.instance.clone());
        let counted = self.counted(window).await?;
        let closed = |(author, part): &(String, Part)| part.closed.then(|| author.clone());
        let closed: HashSet<String> = counted.iter().filter_map(closed).collect();
        let missing = gateways
            .iter()
            .filter(|name| !closed.contains(*name))
            .count();
        if !may_sum(end, missing, now) {
            return Ok(None);
        }
        let report = Report {
            counts: sum(counted.iter().map(|(_, part)| part)),
            sent: false,
        };
        let requests: u64 = report.counts.values().sum();
        let key = report_key(window);
        let write = Transaction {
            expect: vec![(key.clone(), 0)],
            remove: Vec::new(),
            set: vec![(key, encode(&report))],
        };
        let fixed = match self.store.transact(&write).await? {
            Outcome::Done { revision } => (revision, report),
            // The holder before has fixed it, or the answer to its write was lost.
            Outcome::Conflict { rows } => match first_report(rows) {
                Some(fixed) => fixed,
                None => return Ok(None),
            },
        };
        metrics::counter!("redwing_usage_parts_missing_total").increment(missing as u64);
        tracing::info!(window, requests, missing, "use of a window is summed up");
        Ok(Some(fixed))
    }

    /// What the gateways counted in `window`, by their names.
    async fn counted(&self, window: u64) -> Result<Vec<(String, Part)>, StoreError> {
        let prefix = window_prefix(window);
        let reading = count_parts().map(|part| {
            let (store, prefix) = (&self.store, &prefix);
            async move { store.rows(USAGE, &part, prefix, ROWS_MOST).await }
        });
        let mut counted = Vec::new();
        for listing in futures_util::future::join_all(reading).await {
            for row in listing?.rows {
                let part = row.value.filter(|_| row.key.starts_with(&prefix));
                let part = part.and_then(|value| decode::<Part>("counts", &value));
                if let (Some(part), Some(author)) = (part, author_of(&row.key)) {
                    counted.push((author.to_owned(), part));
                }
            }
        }
        Ok(counted)
    }

    /// Sends the windows that the platform has not taken yet, in their order.
    async fn send_all(&self, fence: Fence, reports: &mut Reports) -> Result<(), StoreError> {
        let unsent = reports.0.iter_mut().filter(|(_, (_, report))| !report.sent);
        for (window, (revision, report)) in unsent {
            if self.fence() != Some(fence) {
                return Ok(());
            }
            let request = UsageReport {
                counts: &report.counts,
                fence,
                holder: &self.author.instance,
                window: *window,
            };
            let answer = self.peer.call(request.build(), SEND_WITHIN).await;
            let status = match answer {
                Ok(answer) => answer.status.as_u16(),
                Err(error) => {
                    tracing::info!(window, %error, "the report may have been taken");
                    return Ok(());
                }
            };
            tracing::info!(window, fence, status, "use of a window is reported");
            metrics::counter!("redwing_usage_reports_total", "status" => status.to_string())
                .increment(1);
            if status != 200 {
                return Ok(());
            }
            report.sent = true;
            let key = report_key(*window);
            let write = Transaction {
                expect: vec![(key.clone(), *revision)],
                remove: Vec::new(),
                set: vec![(key, encode(report))],
            };
            if let Outcome::Done { revision: now } = self.store.transact(&write).await? {
                *revision = now;
            }
        }
        Ok(())
    }

    /// Removes what was reported long ago.
    async fn forget(&self, reports: &mut Reports) -> Result<(), StoreError> {
        let Some((last, _)) = reports.0.last_key_value() else {
            return Ok(());
        };
        let kept = last.saturating_sub(KEPT);
        let old = reports.0.first_key_value();
        let Some((oldest, _)) = old.filter(|(window, (_, report))| **window < kept && report.sent)
        else {
            return Ok(());
        };
        let oldest = *oldest;
        for part in count_parts() {
            let listing = self.store.rows(USAGE, &part, "", REMOVED_MOST).await?;
            let before = window_prefix(oldest + 1);
            let rows = listing.rows.into_iter().filter(|row| row.key < before);
            let remove: Vec<Key> = rows.map(|row| Key::new(USAGE, &part, row.key)).collect();
            if !remove.is_empty() {
                let removal = Transaction {
                    remove,
                    ..Transaction::default()
                };
                self.store.transact(&removal).await?;
            }
        }
        let removal = Transaction {
            remove: vec![report_key(oldest)],
            ..Transaction::default()
        };
        self.store.transact(&removal).await?;
        reports.0.remove(&oldest);
        Ok(())
    }
}

fn first_report(rows: Vec<crate::store::Row>) -> Option<(u64, Report)> {
    let row = rows.into_iter().next()?;
    let report = decode::<Report>("report", &row.value?)?;
    Some((row.revision, report))
}
