//! How many instances call a service, and how many calls they have running.
//!
//! Load pattern: tens to thousands of instances share a few backend servers, and a large
//! workspace sends its calls through all of them. None of them sees the total.

use super::conditions::{SWEEP_INTERVAL, ServiceDemand, is_selected};
use crate::base::{Millis, stable_hash};
use std::collections::{
    BTreeMap,
    HashMap, //
};

/// What an instance tells the others of its calls.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct InstanceDemand {
    /// By service.
    pub services: BTreeMap<String, ServiceDemand>,
    /// The age at which the row expires unless it is written again.
    pub valid: Millis,
}

/// How often an instance writes its row, if its calls stay about the same. It is longer in a
/// large fleet; see [`REFRESH_PER_INSTANCE`].
pub const REFRESH_INTERVAL: Millis = Millis(30_000);

/// The interval for each instance of a large fleet, which limits the rows of all instances
/// together to ten a second: each of them is sent to each instance.
pub const REFRESH_PER_INSTANCE: Millis = Millis(100);

/// The shortest time between two writes of an instance's row.
pub const CHANGE_INTERVAL: Millis = Millis(1_000);

/// That time for each instance of a large fleet, which limits the rows of all instances
/// together to 50 a second when the calls of all of them change.
pub const CHANGE_PER_INSTANCE: Millis = Millis(20);

/// How long a service counts as called after a call.
pub const CALLER_RETENTION: Millis = Millis(90_000);

/// For how many refresh intervals a row is valid: two writes may fail.
const VALID_INTERVALS: u64 = 3;

/// The longest validity that is accepted.
const MAX_VALID: Millis = Millis(3_600_000);

/// How long after its end of validity a row is removed.
const REMOVAL_DELAY: Millis = Millis(30_000);

/// For how long the running calls of other instances are known without new rows.
const MAX_RUNNING_AGE: Millis = Millis(10_000);

/// How often the sums over all instances are computed: that takes a look at each row, and each
/// call looks the sums up.
const SUM_INTERVAL: Millis = Millis(1_000);

/// The number below which changes of a count are not told: the few calls of a calm day would
/// change it by a factor of two with each call.
const MIN_CHANGE: u32 = 4;

/// The most services in a row; those with the fewest calls are left out.
const MAX_SERVICES: usize = 8;

/// The most workspaces in a row, for each service.
const MAX_WORKSPACES: usize = 8;

/// The most running calls of other instances that are counted for a workspace: more than all
/// servers of a site run. The queue of calls adds its own to them.
const MAX_RUNNING: u32 = 1 << 24;

/// The most instances that are remembered; about 6 MB if all have the most workspaces.
const MAX_INSTANCES: usize = 8_192;

/// The calls of this instance and of others.
#[derive(Debug)]
pub struct DemandTable {
    /// Since when no changes arrive.
    disconnected: Option<Millis>,
    instance: String,
    /// Whether the rows were listed since the start.
    listed: bool,
    others: HashMap<String, Heard>,
    /// This instance's calls, by service.
    own: BTreeMap<String, OwnDemand>,
    /// When the row may be written after a failed write.
    retry: Millis,
    /// The sums over the other instances, by service, and when they were computed.
    sums: HashMap<String, Sum>,
    summed: Option<Millis>,
    /// The row as last written, and when.
    written: Option<(Millis, InstanceDemand)>,
}

/// The row of another instance.
#[derive(Debug)]
struct Heard {
    /// When it was written, by the local clock.
    at: Millis,
    demand: InstanceDemand,
}

#[derive(Debug)]
struct OwnDemand {
    /// When there were calls last.
    called: Millis,
    demand: ServiceDemand,
}

/// The calls of the other instances to one service.
#[derive(Debug, Default)]
struct Sum {
    callers: u32,
    /// Running calls by workspace.
    workspaces: HashMap<String, u32>,
}

impl DemandTable {
    /// Creates the state of `instance` with nothing known.
    pub fn new(instance: &str) -> Self {
        Self {
            disconnected: None,
            instance: instance.to_owned(),
            listed: false,
            others: HashMap::new(),
            own: BTreeMap::new(),
            retry: Millis(0),
            sums: HashMap::new(),
            summed: None,
            written: None,
        }
    }

    /// Records the present calls of this instance to `service`.
    pub fn set(&mut self, service: &str, mut demand: ServiceDemand, now: Millis) {
        let has_calls = |demand: &ServiceDemand| demand.running > 0 || demand.waiting > 0;
        keep_largest(&mut demand.workspaces, MAX_WORKSPACES, |running| *running);
        let calls = has_calls(&demand);
        match self.own.get_mut(service) {
            Some(own) => {
                // Without calls now but with some before, the last one has just ended.
                if calls || has_calls(&own.demand) {
                    own.called = now;
                }
                own.demand = demand;
            }
            None if calls => {
                let own = OwnDemand {
                    called: now,
                    demand,
                };
                self.own.insert(service.to_owned(), own);
            }
            None => {}
        }
    }

    /// The number of instances that called `service` recently, this one included; 0 if
    /// unknown.
    pub fn callers(&mut self, service: &str, now: Millis) -> u32 {
        if !self.is_known(now, CALLER_RETENTION) {
            return 0;
        }
        self.sum(now);
        let others = self.sums.get(service).map_or(0, |sum| sum.callers);
        let own = self.own.get(service);
        let calls = own.is_some_and(|own| now.since(own.called) <= CALLER_RETENTION);
        others + u32::from(calls)
    }

    /// The running calls of `workspace` to `service` at other instances; 0 if unknown.
    pub fn running_elsewhere(&mut self, service: &str, workspace: &str, now: Millis) -> u32 {
        if !self.is_known(now, MAX_RUNNING_AGE) {
            return 0;
        }
        self.sum(now);
        let sum = self.sums.get(service);
        let running = sum.and_then(|sum| sum.workspaces.get(workspace));
        running.copied().unwrap_or(0)
    }

    /// Applies the row of `instance`, which was written at `at`, or its removal.
    pub fn receive(&mut self, instance: &str, row: Option<(Millis, InstanceDemand)>) {
        if instance == self.instance {
            return;
        }
        let Some((at, demand)) = row else {
            self.others.remove(instance);
            return;
        };
        let valid = demand.valid.min(MAX_VALID);
        let demand = InstanceDemand { valid, ..demand };
        let heard = self.others.get(instance);
        let is_late = heard.is_some_and(|heard| heard.at > at);
        let has_room = heard.is_some() || self.others.len() < MAX_INSTANCES;
        if has_room && !is_late {
            let heard = Heard { at, demand };
            self.others.insert(instance.to_owned(), heard);
        }
    }

    /// Records that all rows were listed.
    pub fn set_listed(&mut self) {
        self.listed = true;
        self.summed = None;
    }

    /// Records that no changes arrive from `now` on.
    pub fn set_disconnected(&mut self, now: Millis) {
        self.disconnected.get_or_insert(now);
    }

    /// Records that changes arrive again. Rows that were known before could not be renewed
    /// meanwhile, so that time doesn't count towards their age: otherwise each instance would
    /// take itself for the only caller until the others have written again.
    pub fn set_connected(&mut self, now: Millis) {
        let Some(disconnected) = self.disconnected.take() else {
            return;
        };
        let before = |heard: &&mut Heard| heard.at <= disconnected;
        for heard in self.others.values_mut().filter(before) {
            heard.at = heard.at + now.since(disconnected);
        }
        self.summed = None;
    }

    /// The number of instances with a row, this one included.
    pub fn instances(&self) -> u32 {
        self.others.len() as u32 + 1
    }

    /// This instance's row, if it is due at `now`. It stays due until
    /// [`DemandTable::confirm`] is called.
    pub fn due(&mut self, now: Millis) -> Option<InstanceDemand> {
        if !self.listed || now < self.retry {
            return None;
        }
        self.own
            .retain(|_, own| now.since(own.called) <= CALLER_RETENTION);
        if self.own.is_empty() {
            return None;
        }
        if let Some((at, written)) = &self.written {
            let age = now.since(*at);
            let shortest = self.per_instance(CHANGE_INTERVAL, CHANGE_PER_INSTANCE);
            let longest = self.per_instance(REFRESH_INTERVAL, REFRESH_PER_INSTANCE);
            if age < shortest || (age < longest && !self.has_changed(written)) {
                return None;
            }
        }
        let calls = |demand: &ServiceDemand| demand.running.saturating_add(demand.waiting);
        let own = self.own.iter();
        let mut services: BTreeMap<String, ServiceDemand> = own
            .map(|(name, own)| (name.clone(), own.demand.clone()))
            .collect();
        keep_largest(&mut services, MAX_SERVICES, calls);
        let interval = self.per_instance(REFRESH_INTERVAL, REFRESH_PER_INSTANCE);
        let valid = Millis(interval.0 * VALID_INTERVALS);
        Some(InstanceDemand { services, valid })
    }

    /// Records that the store has applied this instance's row.
    pub fn confirm(&mut self, row: InstanceDemand, now: Millis) {
        self.written = Some((now, row));
    }

    /// Records that this instance's row was not written. All instances fail together while the
    /// store is unavailable, so their next writes are spread over time.
    pub fn record_failure(&mut self, now: Millis) {
        let spread = CHANGE_PER_INSTANCE.0 * u64::from(self.instances());
        let parts = [self.instance.as_bytes(), &now.0.to_le_bytes()[..]];
        self.retry = now + CHANGE_INTERVAL + Millis(stable_hash(&parts) % spread);
    }

    /// The instances, at most `most`, whose rows have expired and which this instance is
    /// selected to remove from the store.
    pub fn expired(&self, now: Millis, most: usize) -> Vec<String> {
        // Rows that can't be renewed at present don't expire.
        if self.disconnected.is_some() {
            return Vec::new();
        }
        let turn = now.0 / SWEEP_INTERVAL.0;
        let instances = self.instances();
        let others = self.others.iter();
        let old = others.filter(|(_, it)| now.since(it.at) > it.demand.valid + REMOVAL_DELAY);
        let selected =
            old.filter(|(name, _)| is_selected(&self.instance, name, turn, 1, instances));
        selected.take(most).map(|(name, _)| name.clone()).collect()
    }

    /// Whether rows arrived within `age`.
    fn is_known(&self, now: Millis, age: Millis) -> bool {
        let connected = |since: Millis| now.since(since) <= age;
        self.listed && self.disconnected.is_none_or(connected)
    }

    /// The larger of `least` and `each` for each instance.
    fn per_instance(&self, least: Millis, each: Millis) -> Millis {
        least.max(Millis(each.0 * u64::from(self.instances())))
    }

    /// Whether a count differs by a factor of two from the row as written.
    fn has_changed(&self, written: &InstanceDemand) -> bool {
        let missing = ServiceDemand::default();
        let added = self
            .own
            .keys()
            .any(|name| !written.services.contains_key(name));
        let added = added && written.services.len() < MAX_SERVICES;
        added
            || self.own.iter().any(|(name, own)| {
                let (now, before) = (&own.demand, written.services.get(name));
                let before = before.unwrap_or(&missing);
                let names = now.workspaces.keys().chain(before.workspaces.keys());
                let running = |demand: &ServiceDemand, name: &str| {
                    demand.workspaces.get(name).copied().unwrap_or(0)
                };
                is_doubled(now.running, before.running)
                    || is_doubled(now.waiting, before.waiting)
                    || names
                        .into_iter()
                        .any(|name| is_doubled(running(now, name), running(before, name)))
            })
    }

    /// Computes the sums over the other instances, unless that was done a moment ago.
    fn sum(&mut self, now: Millis) {
        let recent = |summed: Millis| now.since(summed) < SUM_INTERVAL;
        if self.summed.is_some_and(recent) {
            return;
        }
        self.summed = Some(now);
        // Rows can't be renewed while no changes arrive.
        let until = self.disconnected.unwrap_or(now);
        self.sums.clear();
        for heard in self.others.values() {
            if until.since(heard.at) > heard.demand.valid {
                continue;
            }
            for (service, demand) in &heard.demand.services {
                if !self.sums.contains_key(service) {
                    self.sums.insert(service.clone(), Sum::default());
                }
                let Some(sum) = self.sums.get_mut(service) else {
                    continue;
                };
                sum.callers += 1;
                for (workspace, running) in &demand.workspaces {
                    let total = match sum.workspaces.get_mut(workspace) {
                        Some(total) => total,
                        None => sum.workspaces.entry(workspace.clone()).or_default(),
                    };
                    *total = total.saturating_add(*running).min(MAX_RUNNING);
                }
            }
        }
    }
}

/// Whether one count is at least twice the other, and not both are small.
fn is_doubled(one: u32, other: u32) -> bool {
    let (one, other) = (one.max(MIN_CHANGE), other.max(MIN_CHANGE));
    one >= other.saturating_mul(2) || other >= one.saturating_mul(2)
}

/// Keeps the `most` entries with the largest values by `size`.
fn keep_largest<V>(entries: &mut BTreeMap<String, V>, most: usize, size: impl Fn(&V) -> u32) {
    if entries.len() <= most {
        return;
    }
    let mut sizes: Vec<u32> = entries.values().map(&size).collect();
    sizes.sort_unstable_by(|one, other| other.cmp(one));
    let smallest = sizes[most - 1];
    // Of the entries with the smallest size that is kept, the first ones are.
    let kept = sizes[..most].iter();
    let mut room = kept.filter(|size| **size == smallest).count();
    entries.retain(|_, value| {
        let size = size(value);
        let fits = size == smallest && room > 0;
        room -= usize::from(fits);
        size > smallest || fits
    });
}
