//! The shared settings of a team.

use super::Reader;
use crate::base::{
    Millis,
    Priority, //
};
use std::collections::BTreeMap;

/// A traffic class of a team.
#[derive(Clone, Debug)]
pub struct ClassSettings {
    /// The deadline of calls that set none themselves.
    pub deadline: Millis,
    /// Whether only callers whose settings list this class may use it.
    pub internal: bool,
    /// The maximum number of calls in flight at one entry.
    pub max_calls: u32,
    pub pool: String,
    pub priority: Priority,
}

/// A caller that has a key.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The internal classes that the caller may use.
    pub classes: Vec<String>,
    /// The hash of the caller's key, see [`key_hash`]. The key itself is not stored.
    pub key: String,
}

/// How a team's rollouts are run.
#[derive(Clone, Debug)]
pub struct RolloutSettings {
    /// The pool of engines that generate the samples.
    pub pool: String,
    /// The maximum number of samples that each of the team's trainers has running at once.
    pub max_samples: u32,
    /// The pool of the service that scores the samples.
    pub scorer: String,
}

/// The settings at `teams/NAME`.
#[derive(Clone, Debug)]
pub struct TeamSettings {
    pub callers: BTreeMap<String, Caller>,
    pub classes: BTreeMap<String, ClassSettings>,
    /// The maximum number of calls in flight at one entry, over all classes.
    pub max_calls: u32,
    /// The size of the retry budget: the number of retries in percent of the successful calls.
    pub retry_share: u64,
    pub rollout: Option<RolloutSettings>,
}

/// The hash of a caller's key, in the form in which the settings contain it.
pub fn key_hash(key: &str) -> String {
    let hash = blake3::derive_key("redwingpond caller key v1", key.as_bytes());
    blake3::Hash::from_bytes(hash).to_string()
}

/// The words for the priorities that a class can have.
const PRIORITIES: [(&str, Priority); 2] = [
    ("background", Priority::Background),
    ("live", Priority::Live),
];

impl TeamSettings {
    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let classes: BTreeMap<String, ClassSettings> = reader
            .sections("classes")
            .into_iter()
            .map(|(name, section)| (name, class(&section)))
            .collect();
        let callers = reader
            .sections("callers")
            .into_iter()
            .map(|(name, section)| (name, caller(&section, &classes)))
            .collect();
        Self {
            callers,
            classes,
            max_calls: reader.number("limit", 1..=1_000_000, Some(10_000)) as u32,
            retry_share: reader.number("retry_share", 0..=100, Some(10)),
            rollout: rollout(reader),
        }
    }

    /// Whether the caller with `key` may use the internal class `class`.
    pub fn may_call(&self, key: &str, class: &str) -> bool {
        let hash = key_hash(key);
        self.callers
            .values()
            .any(|caller| caller.key == hash && caller.classes.iter().any(|name| name == class))
    }
}

fn caller(section: &Reader<'_>, classes: &BTreeMap<String, ClassSettings>) -> Caller {
    let caller = Caller {
        classes: section.texts("classes"),
        key: section.text("key", None),
    };
    let is_hex = caller.key.bytes().all(|b| b.is_ascii_hexdigit());
    let is_hash = caller.key.len() == 64 && is_hex;
    if !caller.key.is_empty() && !is_hash {
        let expected = "the 64 hexadecimal digits that `redwing key-hash` prints";
        section.reject("key", expected, "something else");
    }
    for name in &caller.classes {
        if !classes.contains_key(name) {
            let expected = "a class of this team";
            section.reject("classes", expected, &format!("`{name}`"));
        }
    }
    section.finish();
    caller
}

fn class(section: &Reader<'_>) -> ClassSettings {
    let settings = ClassSettings {
        deadline: Millis(section.number("deadline_ms", 1..=3_600_000, Some(10_000))),
        internal: section.value("internal", "true or false", Some(false)),
        max_calls: section.number("limit", 1..=1_000_000, Some(1_000)) as u32,
        pool: section.text("pool", None),
        priority: section
            .choice("priority", &PRIORITIES, Some(Priority::Live))
            .unwrap_or_default(),
    };
    section.finish();
    settings
}

fn rollout(reader: &Reader<'_>) -> Option<RolloutSettings> {
    if !reader.has("rollout") {
        return None;
    }
    let section = reader.section("rollout");
    let settings = RolloutSettings {
        pool: section.text("pool", None),
        max_samples: section.number("samples", 1..=1_000_000, Some(1_024)) as u32,
        scorer: section.text("scorer", None),
    };
    section.finish();
    Some(settings)
}
