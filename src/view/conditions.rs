//! The conditions of backend servers and the demand of instances, shared through the store.

use super::condition_row::{
    CONDITIONS,
    Subject,
    decode_calls,
    decode_report,
    encode_calls,
    encode_report, //
};
use crate::{
    base::{Clock, Millis},
    platform::Store,
    policy::{
        conditions::{
            Report,
            SWEEP_INTERVAL,
            ServerConditions,
            ServerState,
            ServerWrite,
            ServiceDemand, //
        },
        demand::{DemandTable, InstanceDemand},
        load_features::LoadFeatures, //
    },
    relay::{FollowEvent, FollowOptions, MAX_BACKOFF, Relay, follow},
    routing::ServerIncarnation,
    store::{Change, Transaction}, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::{
    sync::mpsc,
    time::MissedTickBehavior, //
};

/// What instances have found out about servers, and how many calls they have.
/// [`sync_conditions`] shares it. Nothing here waits for the store.
pub struct Conditions {
    /// `None` if this instance doesn't share conditions: nothing is known then.
    shared: Option<Shared>,
}

struct Shared {
    clock: Clock,
    instance: String,
    state: Mutex<State>,
    store: Store,
}

struct State {
    demand: DemandTable,
    servers: ServerConditions,
}

/// The condition of a server by the word of this or another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SharedCondition {
    /// How long ago it was observed.
    pub age: Millis,
    pub state: ServerState,
}

/// The rows that are due.
struct DueRows {
    calls: Option<InstanceDemand>,
    servers: Vec<ServerWrite>,
    transaction: Transaction,
}

/// The maximum number of rows of each kind in one transaction; the store accepts 100 rows.
const MAX_TRANSACTION_ROWS: usize = 45;

/// How often rows are checked for being due.
const WRITE_INTERVAL: Millis = Millis(100);

/// The delay after a failed write; it doubles with each further one.
const MIN_RETRY_DELAY: Millis = Millis(200);

/// The longest delay after a failed write.
const MAX_RETRY_DELAY: Millis = Millis(1_600);

/// How long the store holds a call for changes. A feed that stopped delivering is detected 0.6 s
/// after this, well before the conditions expire.
const CHANGES_HOLD: Millis = Millis(1_500);

/// The delay after a batch of changes. In a large fleet some instance's calls change all the
/// time; this limits the reads of a root to five a second.
const BATCH_DELAY: Millis = Millis(200);

/// How often the metrics are updated.
const METRICS_INTERVAL: Millis = Millis(1_000);

/// How many batches of changes may be queued; the follower waits while the queue is full.
const FEED_CAPACITY: usize = 16;

/// How much later than this instance's estimate of the store's time a row may have been
/// written. A row that is still later has the time of another clock and its age is unknown.
const MAX_CLOCK_ERROR: Millis = Millis(2_000);

impl Conditions {
    /// Creates the state of `instance` with nothing known. It is shared through `store` if
    /// `features` say so; otherwise nothing is ever known.
    pub fn open(features: LoadFeatures, store: Store, instance: &str, clock: Clock) -> Arc<Self> {
        if !features.conditions {
            return Arc::new(Self { shared: None });
        }
        let state = State {
            demand: DemandTable::new(instance),
            servers: ServerConditions::new(instance),
        };
        let shared = Shared {
            clock,
            instance: instance.to_owned(),
            state: Mutex::new(state),
            store,
        };
        Arc::new(Self {
            shared: Some(shared),
        })
    }

    /// The number of instances that have called `service` recently, this one included; 0 if
    /// unknown.
    pub fn callers(&self, service: &str, now: Millis) -> u32 {
        let callers = |shared: &Shared| shared.state().demand.callers(service, now);
        self.shared.as_ref().map_or(0, callers)
    }

    /// Tells other instances that `server` is in `state`.
    pub fn report_server(&self, server: &ServerIncarnation, state: ServerState, now: Millis) {
        let Some(shared) = &self.shared else { return };
        let mut locked = shared.state();
        let instances = locked.demand.instances();
        locked.servers.report(server, state, now, instances);
    }

    /// Tells other instances that `server` answered.
    pub fn clear_server(&self, server: &ServerIncarnation, now: Millis) {
        let Some(shared) = &self.shared else { return };
        let mut locked = shared.state();
        let instances = locked.demand.instances();
        locked.servers.clear(server, now, instances);
    }

    /// Whether this process may send a trial call to `server` of `service`, which instances
    /// found unresponsive. True for a server without a condition.
    pub fn is_trial_due(&self, server: &ServerIncarnation, service: &str, now: Millis) -> bool {
        let Some(shared) = &self.shared else {
            return true;
        };
        let mut locked = shared.state();
        let callers = locked.demand.callers(service, now);
        locked.servers.is_trial_due(server, callers, now)
    }

    /// Counts a call that is sent to `server` now as a trial.
    pub fn begin_trial(&self, server: &ServerIncarnation, now: Millis) {
        if let Some(shared) = &self.shared {
            shared.state().servers.begin_trial(server, now);
        }
    }

    /// The calls of `workspace` that run at servers of `service` for other instances; 0 if
    /// unknown.
    pub fn running_elsewhere(&self, service: &str, workspace: &str, now: Millis) -> u32 {
        let Some(shared) = &self.shared else { return 0 };
        let mut locked = shared.state();
        locked.demand.running_elsewhere(service, workspace, now)
    }

    /// What instances, this one included, say of `server`, if that is recent and `server` has
    /// not answered this instance since.
    pub fn server(&self, server: &ServerIncarnation, now: Millis) -> Option<SharedCondition> {
        let shared = self.shared.as_ref()?;
        let (state, age) = shared.state().servers.condition(server, now)?;
        Some(SharedCondition { age, state })
    }

    /// Tells other instances of this one's calls to `service`. Call it when a call begins or
    /// ends; an instance counts as a caller from the first demand that has a call.
    pub fn set_demand(&self, service: &str, demand: ServiceDemand, now: Millis) {
        if let Some(shared) = &self.shared {
            shared.state().demand.set(service, demand, now);
        }
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Converts a time by the store's clock to the local clock. Time 0, which makes a row
    /// expired, if it can't be right.
    fn local_time(&self, at: Millis) -> Millis {
        let store_now = self.store.now();
        if at > store_now + MAX_CLOCK_ERROR {
            return Millis(0);
        }
        self.clock.now() - store_now.since(at)
    }

    /// Converts a time by the local clock to the store's clock.
    fn store_time(&self, at: Millis) -> Millis {
        self.store.now() - self.clock.now().since(at)
    }

    fn apply_event(&self, event: FollowEvent) {
        let now = self.clock.now();
        match event {
            FollowEvent::Changes { changes, listed } => {
                for change in changes {
                    self.apply_change(change, now);
                }
                if listed {
                    self.state().demand.set_listed();
                }
            }
            FollowEvent::Disconnected => self.state().demand.set_disconnected(now),
            FollowEvent::Reconnected => self.state().demand.set_connected(now),
        }
    }

    fn apply_change(&self, change: Change, now: Millis) {
        let (key, value) = match change {
            Change::Put { key, value, .. } => (key, Some(value)),
            Change::Removed { key, .. } => (key, None),
        };
        match Subject::parse(&key) {
            Some(Subject::Instance(instance)) => {
                let row = value.map(|value| decode_calls(&key, &value));
                let row = match row {
                    Some(None) => return,
                    Some(Some((at, demand))) => Some((self.local_time(at), demand)),
                    None => None,
                };
                self.state().demand.receive(&instance, row);
            }
            Some(Subject::Server(server)) => {
                let report = value.map(|value| decode_report(&key, &value));
                let report = match report {
                    Some(None) => return,
                    Some(Some(report)) => Some(Report {
                        at: self.local_time(report.at),
                        ..report
                    }),
                    None => None,
                };
                self.receive_report(&server, report, now);
            }
            None => tracing::warn!(key, "invalid condition key ignored"),
        }
    }

    fn receive_report(&self, server: &ServerIncarnation, report: Option<Report>, now: Millis) {
        let mut locked = self.state();
        let instances = locked.demand.instances();
        let is_new = locked
            .servers
            .receive(server, report.clone(), now, instances);
        drop(locked);
        let Some(report) = report.filter(|_| is_new) else {
            return;
        };
        let (age, state) = (now.since(report.at), report.state);
        let (server, born, observer) = (&server.id, server.started_at.0, &report.observer);
        tracing::info!(server, born, ?state, observer, %age, "server condition received");
    }

    /// The rows to be written now; `None` if there are none.
    fn due_rows(&self) -> Option<DueRows> {
        let now = self.clock.now();
        let (calls, servers) = {
            let mut locked = self.state();
            let instances = locked.demand.instances();
            let servers = locked.servers.due(now, instances, MAX_TRANSACTION_ROWS);
            (locked.demand.due(now), servers)
        };
        let mut transaction = Transaction::default();
        if let Some(calls) = &calls {
            let key = Subject::Instance(self.instance.clone()).key();
            let value = encode_calls(calls.clone(), self.store_time(now));
            transaction.set.push((key, value));
        }
        for ServerWrite { report, server } in &servers {
            let key = Subject::Server(server.clone()).key();
            match report {
                Some(report) => {
                    let value = encode_report(report, self.store_time(report.at));
                    transaction.set.push((key, value));
                }
                None => transaction.remove.push(key),
            }
        }
        let any = !transaction.set.is_empty() || !transaction.remove.is_empty();
        any.then_some(DueRows {
            calls,
            servers,
            transaction,
        })
    }

    /// Writes the rows that are due. Returns false if the write failed: the rows stay due, and
    /// are written again with what is known then, as the failed write may have been applied.
    async fn write_due(&self) -> bool {
        let Some(due) = self.due_rows() else {
            return true;
        };
        let result = self.store.transact(&due.transaction).await;
        let now = self.clock.now();
        let mut state = self.state();
        match result {
            Ok(_) => {
                let rows = due.transaction.set.len() + due.transaction.remove.len();
                metrics::counter!("redwing_condition_writes_total").increment(rows as u64);
                state.servers.confirm(&due.servers, now);
                due.servers.iter().for_each(|write| log_write(write, now));
                if let Some(calls) = due.calls {
                    state.demand.confirm(calls, now);
                }
                true
            }
            Err(error) => {
                tracing::debug!(%error, "conditions not written");
                state.demand.record_failure(now);
                false
            }
        }
    }

    /// Removes rows of ended servers and instances. There is no retry: another instance is
    /// selected for rows that are left.
    async fn sweep(&self) {
        let now = self.clock.now();
        let expired = {
            let mut locked = self.state();
            let instances = locked.demand.instances();
            locked.servers.sweep(now, instances);
            locked.demand.expired(now, MAX_TRANSACTION_ROWS)
        };
        if expired.is_empty() {
            return;
        }
        let rows = expired.len();
        let remove = expired.into_iter().map(Subject::Instance);
        let removal = Transaction {
            remove: remove.map(|instance| instance.key()).collect(),
            ..Transaction::default()
        };
        match self.store.transact(&removal).await {
            Ok(_) => {
                tracing::info!(rows, "rows of ended instances removed");
                metrics::counter!("redwing_condition_writes_total").increment(rows as u64);
            }
            Err(error) => tracing::debug!(%error, "rows of ended instances not removed"),
        }
    }

    fn update_metrics(&self) {
        let (now, state) = (self.clock.now(), self.state());
        for (label, server_state) in [
            ("failing", ServerState::Failing),
            ("unresponsive", ServerState::Unresponsive),
        ] {
            let count = state.servers.count(server_state, now);
            metrics::gauge!("redwing_conditions", "state" => label).set(count as f64);
        }
    }
}

/// Logs a row about a server that was written or removed. Reports and answers themselves are not
/// logged: there may be hundreds a second.
fn log_write(write: &ServerWrite, now: Millis) {
    let (server, born) = (&write.server.id, write.server.started_at.0);
    let Some(Report { at, state, .. }) = &write.report else {
        tracing::debug!(server, born, "row of an old server condition removed");
        return;
    };
    let age = now.since(*at);
    match state {
        Some(state) => tracing::info!(server, born, ?state, %age, "server condition reported"),
        None => tracing::info!(server, born, %age, "server condition cleared"),
    }
}

/// The name of the relay group of the instances of `program` in `data_centre`. Instances with
/// and without shared conditions follow different tables, so they can't be in one group: a
/// parent that doesn't follow the table would make its children list it again and again.
pub fn relay_group(program: &str, data_centre: &str, features: LoadFeatures) -> String {
    let suffix = match features.conditions {
        true => "-conditions",
        false => "",
    };
    format!("{program}-{data_centre}{suffix}")
}

/// Shares conditions with all instances through the store and removes expired ones, until the
/// program ends. Returns at once if `conditions` shares nothing.
pub async fn sync_conditions(conditions: Arc<Conditions>, relay: Arc<Relay>) {
    let Some(shared) = &conditions.shared else {
        return;
    };
    let (sender, mut feed) = mpsc::channel(FEED_CAPACITY);
    let options = FollowOptions {
        max_backoff: MAX_BACKOFF,
        hold: CHANGES_HOLD,
        batch_delay: BATCH_DELAY,
        has_parts: false,
        table: CONDITIONS,
    };
    tokio::spawn(follow(relay, options, sender));
    let receive = async {
        let mut metrics = tokio::time::interval(METRICS_INTERVAL.as_duration());
        metrics.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = feed.recv() => shared.apply_event(event),
                _ = metrics.tick() => shared.update_metrics(),
            }
        }
    };
    tokio::join!(receive, run_writer(shared));
}

/// Writes the rows that are due, and looks for expired ones.
async fn run_writer(shared: &Shared) {
    let mut delay = WRITE_INTERVAL;
    let mut swept = shared.clock.now();
    loop {
        tokio::time::sleep(delay.as_duration()).await;
        delay = match shared.write_due().await {
            true => WRITE_INTERVAL,
            false => (delay + delay).min(MAX_RETRY_DELAY).max(MIN_RETRY_DELAY),
        };
        let now = shared.clock.now();
        if now.since(swept) >= SWEEP_INTERVAL {
            swept = now;
            shared.sweep().await;
        }
    }
}
