//! The description of a deployment, as read from its file.

use redwingpond::settings::{
    Reader,
    SettingsError,
    load, //
};
use std::{
    collections::BTreeMap,
    path::Path, //
};

/// The kind of a pool's backend servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PoolKind {
    Engine,
    Scorer,
    #[default]
    Service,
}

/// A pool of backend servers.
#[derive(Clone, Debug)]
pub struct PoolPlan {
    /// The number of requests that a server runs at the same time.
    pub capacity: u32,
    /// Whether the engines check fencing tokens.
    pub checks_fence: bool,
    pub kind: PoolKind,
    /// The maximum number of requests in an agent's queue.
    pub queue: usize,
    /// The number of servers.
    pub servers: u32,
    /// The service time of a request at a service or scorer.
    pub service_ms: u64,
}

/// The kind of an application's calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallKind {
    /// Chat completions.
    Chat,
    /// Requests to a service.
    #[default]
    Plain,
}

/// The calls of one application.
#[derive(Clone, Debug)]
pub struct CallerPlan {
    pub class: String,
    pub idempotent: bool,
    /// The key sent for internal classes; empty for none.
    pub key: String,
    /// Calls per second.
    pub rate: u64,
    pub kind: CallKind,
}

/// The steps of one trainer.
#[derive(Clone, Debug)]
pub struct TrainerPlan {
    /// Groups per step.
    pub groups: u32,
    pub max_tokens: u32,
    /// Samples per group.
    pub samples: u32,
    /// The maximum number of weight versions by which a sample may lag behind.
    pub staleness: u64,
    pub steps: u64,
    /// The time that the trainer takes to train on one step.
    pub train_ms: u64,
}

/// A scaled-down deployment of one team.
#[derive(Clone, Debug)]
pub struct Plan {
    pub callers: BTreeMap<String, CallerPlan>,
    pub data_centres: Vec<String>,
    pub pools: BTreeMap<String, PoolPlan>,
    /// Shared settings by path.
    pub settings: BTreeMap<String, String>,
    pub team: String,
    pub trainers: BTreeMap<String, TrainerPlan>,
}

impl Plan {
    /// Loads a plan from the file at `path` and checks it.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        load(path, Self::read)
    }

    /// Reads a plan from the root of a document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let settings = reader.section("settings");
        let paths = reader.keys("settings");
        let plan = Self {
            callers: read_entries(reader, "callers", read_caller),
            data_centres: reader.texts("data_centres"),
            pools: read_entries(reader, "pools", read_pool),
            settings: paths
                .into_iter()
                .map(|path| {
                    let text = settings.text(&path, None);
                    (path, text)
                })
                .collect(),
            team: reader.text("team", None),
            trainers: read_entries(reader, "trainers", read_trainer),
        };
        if plan.data_centres.is_empty() {
            reader.reject("data_centres", "at least one", "none");
        }
        plan
    }
}

/// Reads each entry of the section `key` with `read`.
fn read_entries<T>(
    reader: &Reader<'_>,
    key: &str,
    read: impl Fn(&Reader<'_>) -> T,
) -> BTreeMap<String, T> {
    let entries = reader.sections(key).into_iter();
    let all = entries.map(|(name, section)| {
        let value = read(&section);
        section.finish();
        (name, value)
    });
    all.collect()
}

fn read_caller(section: &Reader<'_>) -> CallerPlan {
    let words = [("chat", CallKind::Chat), ("plain", CallKind::Plain)];
    CallerPlan {
        class: section.text("class", None),
        idempotent: section.value("idempotent", "true or false", Some(true)),
        key: section.value("key", "a text", Some(String::new())),
        rate: section.number("rate", 0..=100_000, Some(10)),
        kind: section
            .choice("work", &words, Some(CallKind::Plain))
            .unwrap_or_default(),
    }
}

fn read_pool(section: &Reader<'_>) -> PoolPlan {
    let words = [
        ("engine", PoolKind::Engine),
        ("scorer", PoolKind::Scorer),
        ("service", PoolKind::Service),
    ];
    PoolPlan {
        capacity: section.number("capacity", 1..=10_000, Some(8)) as u32,
        checks_fence: section.value("checks_fence", "true or false", Some(false)),
        kind: section.choice("kind", &words, None).unwrap_or_default(),
        queue: section.number("queue", 0..=100_000, Some(256)) as usize,
        servers: section.number("servers", 1..=1_000, Some(1)) as u32,
        service_ms: section.number("service_ms", 0..=60_000, Some(5)),
    }
}

fn read_trainer(section: &Reader<'_>) -> TrainerPlan {
    TrainerPlan {
        groups: section.number("groups", 1..=10_000, Some(8)) as u32,
        max_tokens: section.number("max_tokens", 1..=100_000, Some(200)) as u32,
        samples: section.number("samples", 1..=1_000, Some(4)) as u32,
        staleness: section.number("staleness", 0..=1_000, Some(1)),
        steps: section.number("steps", 1..=10_000, Some(4)),
        train_ms: section.number("train_ms", 0..=600_000, Some(1_000)),
    }
}
