//! What instances tell each other of backend servers and of their own calls.
//!
//! Load pattern: most servers of a service fall silent at once while callers crowd in. Each of
//! tens to thousands of instances would find that out for itself, at the cost of its own
//! callers' time.

use crate::{
    base::{Millis, stable_hash},
    routing::ServerIncarnation, //
};
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// What an instance found out about a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub enum ServerState {
    /// It refuses or fails most calls.
    Failing,
    /// It does not answer.
    Unresponsive,
}

/// The calls of one instance to one service.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct ServiceDemand {
    /// Calls at servers.
    pub running: u32,
    /// Calls in the instance's queue.
    pub waiting: u32,
    /// The running calls of the workspaces that have most.
    pub workspaces: BTreeMap<String, u32>,
}

/// An instance's observation of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Report {
    /// When the server was observed, by the local clock.
    pub at: Millis,
    /// The instance that observed it.
    pub observer: String,
    /// `None` if the server answered, which refutes earlier reports. That is told by a row of its
    /// own rather than by removing the row: a follower doesn't see a row that is written and
    /// removed between two of its polls, and a removal doesn't tell when the server answered.
    pub state: Option<ServerState>,
}

/// A row about a server that is due to be written, or to be removed if `report` is `None`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerWrite {
    pub report: Option<Report>,
    pub server: ServerIncarnation,
}

/// The age beyond which a report is ignored: longer than three times the interval at which
/// reports are repeated.
pub const MAX_REPORT_AGE: Millis = Millis(10_000);

/// No instance writes a condition to a row that was written within this time.
pub const MIN_WRITE_INTERVAL: Millis = Millis(2_000);

/// When a row is written again while the condition is still observed.
pub const REWRITE_INTERVAL: Millis = Millis(3_000);

/// The shortest time between two trial calls of one process to one server. The processes that
/// may send one are selected anew in each such interval.
pub const TRIAL_INTERVAL: Millis = Millis(2_000);

/// How many of the callers of a service are selected in each trial interval, for about one
/// trial call a second over all of them.
const SELECTED_CALLERS: u32 = 2;

/// How long contradictions of an observer count. A second one within this time makes its
/// reports about the server ignored: its own link to the server is probably at fault, and its
/// reports would take a good server from all others again and again.
const CONTRADICTION_RETENTION: Millis = Millis(10_000);

/// How long after its last event a server's record is kept.
const RECORD_RETENTION: Millis = Millis(60_000);

/// The age at which rows that no instance renews are removed.
const ROW_RETENTION: Millis = Millis(40_000);

/// How often rows to be removed are looked for; another instance is selected each time.
pub const SWEEP_INTERVAL: Millis = Millis(30_000);

/// The most servers that are remembered; about 1 MB.
const MAX_SERVERS: usize = 4_096;

/// Instances that observe the same event write with a delay that is spread over this time for
/// each of them, so that most find the row written already.
const SPREAD_PER_INSTANCE: Millis = Millis(10);

/// The longest such spread.
const MAX_SPREAD: Millis = Millis(2_000);

/// Whether `instance` is one of about `chosen` instances, of `among`, that a hash selects for
/// `subject` in the interval with the number `turn`.
pub fn is_selected(instance: &str, subject: &str, turn: u64, chosen: u32, among: u32) -> bool {
    let parts = [
        instance.as_bytes(),
        subject.as_bytes(),
        &turn.to_le_bytes()[..],
    ];
    among <= chosen || stable_hash(&parts) % u64::from(among) < u64::from(chosen)
}

/// The conditions of servers, as this instance and others observed them.
#[derive(Debug)]
pub struct ServerConditions {
    instance: String,
    /// Rows to be written or removed.
    pending: BTreeMap<ServerIncarnation, Pending>,
    records: HashMap<ServerIncarnation, Record>,
}

/// A change of a row that is not in the store yet.
#[derive(Clone, Copy, Debug)]
struct Pending {
    due: Millis,
    kind: PendingKind,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PendingKind {
    /// The row tells that the server answered.
    Answer,
    /// The row is removed.
    Removal,
    /// The row tells a condition.
    Report,
}

/// What is known of one incarnation of a server.
#[derive(Debug, Default)]
struct Record {
    /// When the server last answered, this instance or another one. Reports that were observed
    /// earlier don't hold.
    cleared: Millis,
    contradictions: Contradictions,
    /// When this record was last used.
    touched: Millis,
    /// The newest report of a condition.
    report: Option<Report>,
    /// The row in the store; `None` if there is none.
    row: Option<StoredRow>,
    /// When the latest trial call of this process was allowed.
    tried: Option<Millis>,
    /// When the row was last written, by any instance.
    written: Option<Millis>,
}

#[derive(Clone, Copy, Debug)]
struct StoredRow {
    /// When the server was observed.
    at: Millis,
    /// Whether the row tells a condition, rather than an answer.
    is_condition: bool,
}

impl StoredRow {
    fn of(report: &Report) -> Self {
        Self {
            at: report.at,
            is_condition: report.state.is_some(),
        }
    }
}

/// Reports of one observer that this instance's own answers refuted.
#[derive(Debug, Default)]
struct Contradictions {
    count: u32,
    latest: Millis,
    observer: String,
}

impl Contradictions {
    fn record(&mut self, observer: &str, now: Millis) {
        let continues =
            self.observer == observer && now.since(self.latest) < CONTRADICTION_RETENTION;
        if !continues {
            observer.clone_into(&mut self.observer);
            self.count = 0;
        }
        self.count += 1;
        self.latest = now;
    }

    /// Whether reports of `observer` are ignored.
    fn bar(&self, observer: &str, now: Millis) -> bool {
        self.count >= 2
            && self.observer == observer
            && now.since(self.latest) < CONTRADICTION_RETENTION
    }
}

impl Record {
    /// The report that holds at `now`.
    fn condition(&self, now: Millis) -> Option<&Report> {
        self.report
            .as_ref()
            .filter(|report| report.at > self.cleared && now.since(report.at) <= MAX_REPORT_AGE)
    }

    fn written_recently(&self, now: Millis) -> bool {
        self.written
            .is_some_and(|written| now.since(written) < MIN_WRITE_INTERVAL)
    }
}

impl ServerConditions {
    /// Creates the state of `instance` with nothing known.
    pub fn new(instance: &str) -> Self {
        Self {
            instance: instance.to_owned(),
            pending: BTreeMap::new(),
            records: HashMap::new(),
        }
    }

    /// Records that this instance found `server` in `state`. The row becomes due within a delay
    /// that depends on the number of `instances`.
    pub fn report(
        &mut self,
        server: &ServerIncarnation,
        state: ServerState,
        now: Millis,
        instances: u32,
    ) {
        let observer = self.instance.clone();
        let spread = self.spread(server, now, instances);
        let Some(record) = self.record(server, now) else {
            return;
        };
        record.report = Some(Report {
            at: now,
            observer,
            state: Some(state),
        });
        let due = match record.written.filter(|_| record.written_recently(now)) {
            Some(written) => written + REWRITE_INTERVAL + spread,
            None => now + spread,
        };
        if !self.is_pending(server, PendingKind::Report) {
            self.set_pending(server, due, PendingKind::Report);
        }
    }

    /// Records that `server` answered this instance, which refutes all earlier reports. If the row
    /// in the store tells a condition, the answer becomes due to be written.
    pub fn clear(&mut self, server: &ServerIncarnation, now: Millis, instances: u32) {
        if self.is_pending(server, PendingKind::Report) {
            self.pending.remove(server);
        }
        let condition = self.records.get(server).and_then(|it| it.condition(now));
        let refuted = condition.filter(|report| report.observer != self.instance);
        let refuted = refuted.map(|report| report.observer.clone());
        let Some(record) = self.record(server, now) else {
            return;
        };
        if let Some(observer) = refuted {
            record.contradictions.record(&observer, now);
        }
        record.cleared = now;
        record.report = None;
        let row = record.row.filter(|row| row.is_condition);
        // The process that sent the trial call is probably the only one that got an answer.
        let tried = record
            .tried
            .is_some_and(|at| now.since(at) <= TRIAL_INTERVAL);
        // Older rows no longer hold anywhere, and are removed later.
        if row.is_none_or(|row| now.since(row.at) > MAX_REPORT_AGE)
            || self.is_pending(server, PendingKind::Answer)
        {
            return;
        }
        let spread = match tried {
            true => Millis(0),
            false => self.spread(server, now, instances),
        };
        self.set_pending(server, now + spread, PendingKind::Answer);
    }

    /// Applies the row of `server`, or its removal if `report` is `None`. Returns whether the
    /// server's condition is new.
    pub fn receive(
        &mut self,
        server: &ServerIncarnation,
        report: Option<Report>,
        now: Millis,
        instances: u32,
    ) -> bool {
        let Some(report) = report else {
            if let Some(record) = self.records.get_mut(server) {
                record.row = None;
                self.pending.remove(server);
            }
            return false;
        };
        let spread = self.spread(server, now, instances);
        let own = report.observer == self.instance;
        let Some(record) = self.record(server, now) else {
            return false;
        };
        if own && record.row.is_some_and(|row| row.at > report.at) {
            // This instance has written a later row since.
            return false;
        }
        record.row = Some(StoredRow::of(&report));
        if now.since(report.at) > MAX_REPORT_AGE {
            return false;
        }
        if !own {
            record.written = record.written.max(Some(now));
        }
        let known = record.condition(now).and_then(|report| report.state);
        if report.state.is_none() {
            record.cleared = record.cleared.max(report.at);
            let refuted = record.condition(now).is_none();
            if refuted || self.is_pending(server, PendingKind::Answer) {
                self.pending.remove(server);
            }
            return false;
        }
        if report.at <= record.cleared {
            // The row was written although the server has answered meanwhile.
            if !self.is_pending(server, PendingKind::Answer) {
                let spread = if own { Millis(0) } else { spread };
                self.set_pending(server, now + spread, PendingKind::Answer);
            }
            return false;
        }
        if record.contradictions.bar(&report.observer, now) {
            return false;
        }
        let latest = report.at;
        if record.report.as_ref().is_none_or(|it| it.at <= latest) {
            record.report = Some(report);
            if !own {
                self.pending.remove(server);
            }
        } else if let Some(pending) = self.pending.get_mut(server)
            && !own
        {
            // This instance's own report is newer: it is written when the row is due again.
            pending.due = pending.due.max(now + REWRITE_INTERVAL + spread);
        }
        let condition = self.condition(server, now);
        condition.map(|(state, _)| state) != known
    }

    /// The condition of `server` and its age; `None` if no report holds.
    pub fn condition(
        &self,
        server: &ServerIncarnation,
        now: Millis,
    ) -> Option<(ServerState, Millis)> {
        let report = self.records.get(server)?.condition(now)?;
        Some((report.state?, now.since(report.at)))
    }

    /// Whether this process may send a trial call to `server` at `now`, of a service that
    /// `callers` instances call (0 if unknown). A server without a condition needs no trial.
    pub fn is_trial_due(&self, server: &ServerIncarnation, callers: u32, now: Millis) -> bool {
        let record = self.records.get(server);
        let Some(record) = record.filter(|record| record.condition(now).is_some()) else {
            return true;
        };
        let recent = |tried: Millis| now.since(tried) < TRIAL_INTERVAL;
        let turn = now.0 / TRIAL_INTERVAL.0;
        !record.tried.is_some_and(recent)
            && is_selected(&self.instance, &server.id, turn, SELECTED_CALLERS, callers)
    }

    /// Counts a call that is sent to `server` now as a trial.
    pub fn begin_trial(&mut self, server: &ServerIncarnation, now: Millis) {
        if let Some(record) = self.records.get_mut(server) {
            record.tried = Some(now);
        }
    }

    /// The rows that are due at `now`, at most `most` of them. They stay due until
    /// [`ServerConditions::confirm`] is called.
    pub fn due(&mut self, now: Millis, instances: u32, most: usize) -> Vec<ServerWrite> {
        let due = self.pending.iter().filter(|(_, it)| it.due <= now);
        let due: Vec<(ServerIncarnation, PendingKind)> = due
            .take(most)
            .map(|(server, it)| (server.clone(), it.kind))
            .collect();
        let mut writes = Vec::new();
        for (server, kind) in due {
            let Some(record) = self.records.get(&server) else {
                self.pending.remove(&server);
                continue;
            };
            let report = match kind {
                PendingKind::Answer => {
                    let answer = Report {
                        at: record.cleared,
                        observer: self.instance.clone(),
                        state: None,
                    };
                    Some(answer).filter(|answer| now.since(answer.at) <= MAX_REPORT_AGE)
                }
                PendingKind::Removal => {
                    let report = None;
                    writes.push(ServerWrite { report, server });
                    continue;
                }
                PendingKind::Report => {
                    let own = record.condition(now);
                    let own = own.filter(|it| it.observer == self.instance).cloned();
                    let written = record.written.filter(|_| record.written_recently(now));
                    if let (Some(_), Some(written)) = (&own, written) {
                        let due = written + REWRITE_INTERVAL + self.spread(&server, now, instances);
                        self.set_pending(&server, due, kind);
                        continue;
                    }
                    own
                }
            };
            match report {
                Some(_) => writes.push(ServerWrite { report, server }),
                // It has expired, or another instance has written a newer one.
                None => {
                    self.pending.remove(&server);
                }
            }
        }
        writes
    }

    /// Records that the store has applied `writes`.
    pub fn confirm(&mut self, writes: &[ServerWrite], now: Millis) {
        for ServerWrite { report, server } in writes {
            let Some(record) = self.records.get_mut(server) else {
                continue;
            };
            record.row = report.as_ref().map(StoredRow::of);
            let Some(report) = report else {
                self.pending.remove(server);
                continue;
            };
            record.written = Some(now);
            let newest = record.condition(now).map(|newest| newest.at);
            let cleared = record.cleared;
            if report.state.is_some() && report.at <= cleared {
                // The server answered while the report was written.
                self.set_pending(server, now, PendingKind::Answer);
            } else if newest.is_some_and(|newest| newest > report.at) {
                // The server was observed again meanwhile.
                self.set_pending(server, now + REWRITE_INTERVAL, PendingKind::Report);
            } else {
                self.pending.remove(server);
            }
        }
    }

    /// Drops records that are no longer used, and makes the rows that no instance renews due
    /// for removal if this instance is selected for that.
    pub fn sweep(&mut self, now: Millis, instances: u32) {
        let turn = now.0 / SWEEP_INTERVAL.0;
        for (server, record) in &self.records {
            let old = record
                .row
                .is_some_and(|row| now.since(row.at) > ROW_RETENTION);
            let subject = format!("{}/{}", server.id, server.started_at.0);
            if old && is_selected(&self.instance, &subject, turn, 1, instances) {
                let kind = PendingKind::Removal;
                self.pending
                    .insert(server.clone(), Pending { due: now, kind });
            }
        }
        self.records.retain(|_, record| {
            record.row.is_some() || now.since(record.touched) <= RECORD_RETENTION
        });
        self.pending
            .retain(|server, _| self.records.contains_key(server));
    }

    /// How many servers are in `state`.
    pub fn count(&self, state: ServerState, now: Millis) -> usize {
        let conditions = self.records.values().filter_map(|it| it.condition(now));
        let is_in_state = |report: &&Report| report.state == Some(state);
        conditions.filter(is_in_state).count()
    }

    fn is_pending(&self, server: &ServerIncarnation, kind: PendingKind) -> bool {
        self.pending.get(server).is_some_and(|it| it.kind == kind)
    }

    fn set_pending(&mut self, server: &ServerIncarnation, due: Millis, kind: PendingKind) {
        self.pending.insert(server.clone(), Pending { due, kind });
    }

    /// The record of `server`; `None` if there is no room for another one.
    fn record(&mut self, server: &ServerIncarnation, now: Millis) -> Option<&mut Record> {
        if !self.records.contains_key(server) {
            if self.records.len() >= MAX_SERVERS {
                return None;
            }
            self.records.insert(server.clone(), Record::default());
        }
        let record = self.records.get_mut(server)?;
        record.touched = now;
        Some(record)
    }

    /// The delay of this instance's next write about `server`.
    fn spread(&self, server: &ServerIncarnation, now: Millis, instances: u32) -> Millis {
        let longest = SPREAD_PER_INSTANCE.0 * u64::from(instances);
        let longest = longest.clamp(1, MAX_SPREAD.0);
        let turn = now.0 / MIN_WRITE_INTERVAL.0;
        let parts = [
            self.instance.as_bytes(),
            server.id.as_bytes(),
            &turn.to_le_bytes()[..],
        ];
        Millis(stable_hash(&parts) % longest)
    }
}
