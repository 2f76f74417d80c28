//! Reports usage to the platform, from one gateway at a time.

use super::{
    counter::Counter,
    rows::{
        GatewayIncarnation,
        REPORTS,
        Report,
        USAGE,
        count_parts,
        instance_of,
        lease_key,
        report_key,
        window_prefix, //
    },
};
use crate::{
    base::{Clock, Fence, Incarnation, Millis, stable_hash},
    batch::{decode, encode},
    net::Peer,
    platform::{MAX_READ_ROWS, Store, UsageReport},
    policy::{
        lease::{Claimant, HeldLease, Lease, LeaseAction, LeaseWatch},
        usage::{Part, may_sum, sum}, //
    },
    store::{Key, StoreError, Transaction, TransactionOutcome}, //
};
use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddr,
    sync::Arc, //
};

/// Settings of the reporter.
#[derive(Clone, Copy, Debug)]
pub struct Reporting {
    /// The platform's address, to which reports are sent.
    pub address: SocketAddr,
    /// The duration of the reporting lease: no gateway takes it over from a holder that has
    /// renewed it within this time.
    pub lease: Millis,
}

/// How often a gateway checks or renews the lease.
const LEASE_CHECK_INTERVAL: Millis = Millis(1_000);

/// How often the holder of the lease checks for due reports.
const REPORT_INTERVAL: Millis = Millis(250);

/// How long the platform may take to answer a report.
const SEND_TIMEOUT: Millis = Millis(800);

/// The time between the latest end of a send and the end of the lease: a holder needs some
/// time to notice that the lease is over.
const LEASE_MARGIN: Millis = Millis(400);

/// The number of reported windows whose rows are kept.
const MAX_KEPT_WINDOWS: u64 = 24;

/// The maximum number of rows in one removal; the store accepts 100.
const MAX_REMOVED_ROWS: usize = 90;

/// Reports the usage that all gateways count while this one holds the lease. Runs until the
/// program ends.
pub async fn run_reporter(counter: Arc<Counter>, reporting: Reporting, store: Store, clock: Clock) {
    let gateway = counter.gateway.clone();
    let claimant = Claimant {
        address: String::new(),
        holder: gateway.instance.clone(),
        incarnation: Incarnation(gateway.started.0),
    };
    // Spreads the lease checks of gateways that start together.
    let spread = stable_hash(&[gateway.instance.as_bytes()]) % LEASE_CHECK_INTERVAL.0;
    tokio::time::sleep(Millis(spread).as_duration()).await;
    let mut reporter = Reporter {
        gateway,
        clock,
        counter,
        held: None,
        claimant,
        peer: Peer::open(reporting.address, clock),
        reporting,
        store,
        watch: LeaseWatch::default(),
    };
    let mut reports: Option<WindowReports> = None;
    loop {
        reporter.check_lease().await;
        let wait = match reporter.fence() {
            Some(fence) => {
                reporter.report_due(fence, &mut reports).await;
                REPORT_INTERVAL
            }
            None => {
                reports = None;
                LEASE_CHECK_INTERVAL
            }
        };
        tokio::time::sleep(wait.as_duration()).await;
    }
}

/// The reports of finalised windows with the revisions of their rows, by window. Earlier
/// holders of the lease may have written them.
struct WindowReports(BTreeMap<u64, (u64, Report)>);

struct Reporter {
    gateway: GatewayIncarnation,
    clock: Clock,
    counter: Arc<Counter>,
    held: Option<HeldLease>,
    claimant: Claimant,
    peer: Peer,
    reporting: Reporting,
    store: Store,
    watch: LeaseWatch,
}

impl Reporter {
    /// Reads the lease; acquires it if it is free, renews it if that is due.
    async fn check_lease(&mut self) {
        let asked = self.clock.boottime();
        if self
            .held
            .is_some_and(|held| asked.since(held.since) < LEASE_CHECK_INTERVAL)
        {
            return;
        }
        let row = match self.store.row(&lease_key()).await {
            Ok(row) => row,
            Err(error) => {
                tracing::debug!(%error, "reporting lease not read");
                return;
            }
        };
        let revision = row.as_ref().map_or(0, |row| row.revision);
        let value = row.and_then(|row| row.value);
        let lease = value.and_then(|value| decode::<Lease>("lease", &value));
        self.watch.observe(self.clock.boottime(), lease.clone());
        if !lease.is_some_and(|lease| self.claimant.holds(&lease)) {
            self.drop_lease();
        }
        let asked = self.clock.boottime();
        let LeaseAction::Write(next) =
            self.watch
                .decide(asked, &self.claimant, self.reporting.lease)
        else {
            return;
        };
        let transaction = Transaction {
            expect: vec![(lease_key(), revision)],
            remove: Vec::new(),
            set: vec![(lease_key(), encode(&next))],
        };
        match self.store.transact(&transaction).await {
            Ok(TransactionOutcome::Done { .. }) => {
                if self.held.is_none() {
                    let (fence, instance) = (next.epoch, &self.gateway.instance);
                    tracing::info!(fence, instance, "reporting lease acquired");
                }
                self.held = Some(HeldLease {
                    epoch: next.epoch,
                    since: asked,
                });
                self.watch.observe(self.clock.boottime(), Some(next));
            }
            Ok(TransactionOutcome::Conflict { .. }) => self.drop_lease(),
            // The write may have been applied or not. A lease that was held before is still
            // held, until its previous end.
            Err(error) => tracing::info!(%error, "reporting lease not written"),
        }
    }

    fn drop_lease(&mut self) {
        if let Some(held) = self.held.take() {
            let fence = held.epoch;
            tracing::info!(fence, "reporting lease lost");
        }
    }

    /// The fencing token for a send that starts now; `None` if the lease is not held, or ends
    /// too soon for a send.
    ///
    /// A send must end before the lease does. A holder that was frozen or partitioned finds
    /// its lease expired here, so that it doesn't send at the same time as its successor.
    fn fence(&self) -> Option<Fence> {
        let held = self.held?;
        let now = self.clock.boottime();
        let allowed = held.allows(now, SEND_TIMEOUT + LEASE_MARGIN, self.reporting.lease);
        allowed.then_some(held.epoch)
    }

    /// Finalises the next window if it is due, and sends the reports that the platform hasn't
    /// accepted yet. Errors are logged; the next call retries.
    async fn report_due(&mut self, fence: Fence, cached: &mut Option<WindowReports>) {
        if let Err(error) = self.try_report_due(fence, cached).await {
            tracing::info!(%error, "reporting failed, retrying");
        }
    }

    async fn try_report_due(
        &mut self,
        fence: Fence,
        cached: &mut Option<WindowReports>,
    ) -> Result<(), StoreError> {
        let reports = match cached {
            Some(reports) => reports,
            None => cached.insert(self.load_reports().await?),
        };
        let windows = self.counter.windows;
        let now = self.counter.synced_clock.now();
        let first = windows.at(self.gateway.started);
        let next = reports.0.last_key_value();
        let next = next.map_or(first, |(window, _)| window + 1);
        if windows.end(next) <= now
            && let Some(report) = self.finalise(next, now).await?
        {
            reports.0.insert(next, report);
        }
        self.send_all(fence, reports).await?;
        self.prune(reports).await
    }

    /// Reads the reports that earlier holders of the lease stored.
    async fn load_reports(&self) -> Result<WindowReports, StoreError> {
        let listing = self.store.whole_part(USAGE, REPORTS).await?;
        let rows = listing.rows.into_iter().filter_map(|row| {
            let window = row.key.parse().ok()?;
            let report = decode::<Report>("report", &row.value?)?;
            Some((window, (row.revision, report)))
        });
        Ok(WindowReports(rows.collect()))
    }

    /// Stores the final report of `window`, if it may be summed up: all gateways have closed
    /// it, or the wait for them is over. Returns the stored report, which an earlier holder of
    /// the lease may have written, with its row's revision.
    async fn finalise(
        &self,
        window: u64,
        now: Millis,
    ) -> Result<Option<(u64, Report)>, StoreError> {
        let end = self.counter.windows.end(window);
        if !may_sum(end, 0, now) {
            return Ok(None);
        }
        let mut gateways = self
            .counter
            .synced_clock
            .live_gateways(&self.gateway)
            .await?;
        gateways.push(self.gateway.instance.clone());
        let counts = self.read_counts(window).await?;
        let closed = |(instance, part): &(String, Part)| part.closed.then(|| instance.clone());
        let closed: HashSet<String> = counts.iter().filter_map(closed).collect();
        let missing = gateways
            .iter()
            .filter(|name| !closed.contains(*name))
            .count();
        if !may_sum(end, missing, now) {
            return Ok(None);
        }
        let report = Report {
            counts: sum(counts.iter().map(|(_, part)| part)),
            sent: false,
        };
        let requests: u64 = report.counts.values().sum();
        let key = report_key(window);
        let transaction = Transaction {
            expect: vec![(key.clone(), 0)],
            remove: Vec::new(),
            set: vec![(key, encode(&report))],
        };
        let stored = match self.store.transact(&transaction).await? {
            TransactionOutcome::Done { revision } => (revision, report),
            // A previous holder stored a report, or the answer to an earlier write was lost.
            TransactionOutcome::Conflict { rows } => match decode_first(rows) {
                Some(stored) => stored,
                None => return Ok(None),
            },
        };
        metrics::counter!("redwing_usage_parts_missing_total").increment(missing as u64);
        tracing::info!(window, requests, missing, "usage window finalised");
        Ok(Some(stored))
    }

    /// Reads the gateways' counts for `window`, with the gateways' instance names.
    async fn read_counts(&self, window: u64) -> Result<Vec<(String, Part)>, StoreError> {
        let prefix = window_prefix(window);
        let reading = count_parts().map(|part| {
            let (store, prefix) = (&self.store, &prefix);
            async move { store.rows(USAGE, &part, prefix, MAX_READ_ROWS).await }
        });
        let mut counts = Vec::new();
        for listing in futures_util::future::join_all(reading).await {
            for row in listing?.rows {
                let part = row.value.filter(|_| row.key.starts_with(&prefix));
                let part = part.and_then(|value| decode::<Part>("counts", &value));
                if let (Some(part), Some(instance)) = (part, instance_of(&row.key)) {
                    counts.push((instance.to_owned(), part));
                }
            }
        }
        Ok(counts)
    }

    /// Sends the reports that the platform hasn't accepted yet, in the order of windows. Stops
    /// at the first that it doesn't accept.
    async fn send_all(&self, fence: Fence, reports: &mut WindowReports) -> Result<(), StoreError> {
        let unsent = reports.0.iter_mut().filter(|(_, (_, report))| !report.sent);
        for (window, (revision, report)) in unsent {
            if self.fence() != Some(fence) {
                return Ok(());
            }
            let request = UsageReport {
                counts: &report.counts,
                fence,
                holder: &self.gateway.instance,
                window: *window,
            };
            let answer = self.peer.call(request.build(), SEND_TIMEOUT).await;
            let status = match answer {
                Ok(answer) => answer.status.as_u16(),
                Err(error) => {
                    tracing::info!(window, %error, "usage report not answered");
                    return Ok(());
                }
            };
            tracing::info!(window, fence, status, "usage report answered");
            metrics::counter!("redwing_usage_reports_total", "status" => status.to_string())
                .increment(1);
            if status != 200 {
                return Ok(());
            }
            report.sent = true;
            let key = report_key(*window);
            let transaction = Transaction {
                expect: vec![(key.clone(), *revision)],
                remove: Vec::new(),
                set: vec![(key, encode(report))],
            };
            if let TransactionOutcome::Done { revision: now } =
                self.store.transact(&transaction).await?
            {
                *revision = now;
            }
        }
        Ok(())
    }

    /// Removes the oldest report, and the counts up to its window, if the report was sent and
    /// its window is more than [`MAX_KEPT_WINDOWS`] before the last one.
    async fn prune(&self, reports: &mut WindowReports) -> Result<(), StoreError> {
        let Some((last, _)) = reports.0.last_key_value() else {
            return Ok(());
        };
        let kept = last.saturating_sub(MAX_KEPT_WINDOWS);
        let old = reports.0.first_key_value();
        let Some((oldest, _)) = old.filter(|(window, (_, report))| **window < kept && report.sent)
        else {
            return Ok(());
        };
        let oldest = *oldest;
        for part in count_parts() {
            let listing = self.store.rows(USAGE, &part, "", MAX_REMOVED_ROWS).await?;
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

/// Decodes the report in the first of `rows`; returns it with its revision.
fn decode_first(rows: Vec<crate::store::Row>) -> Option<(u64, Report)> {
    let row = rows.into_iter().next()?;
    let report = decode::<Report>("report", &row.value?)?;
    Some((row.revision, report))
}
