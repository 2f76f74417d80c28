//! The changes of settings and instances that one entry sends another.

use crate::table::{
    Instance,
    Row, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::{
    BTreeMap,
    BTreeSet, //
};

/// A change to the list of instances.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(super) enum InstancesChange {
    /// The whole new list.
    All(Vec<Instance>),
    Part {
        /// New instances, and those that differ.
        changed: Vec<Instance>,
        /// The names of instances that are no longer listed.
        gone: Vec<String>,
    },
    #[default]
    Same,
}

/// The settings and instances that are newer than those of the entry that asks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(super) struct DirectoryUpdate {
    pub(super) instances: InstancesChange,
    /// The revision of the settings once the rows are applied.
    pub(super) revision: u64,
    /// Newer rows of the settings, by path.
    pub(super) rows: BTreeMap<String, Row>,
}

impl InstancesChange {
    /// Applies this change to the list `before`; returns the new list.
    pub(super) fn apply(self, before: &[Instance]) -> Vec<Instance> {
        match self {
            Self::All(list) => list,
            Self::Part { changed, gone } => {
                let replaced: BTreeSet<&str> = changed
                    .iter()
                    .map(|instance| instance.name.as_str())
                    .chain(gone.iter().map(String::as_str))
                    .collect();
                let kept = before
                    .iter()
                    .filter(|instance| !replaced.contains(instance.name.as_str()));
                let mut list: Vec<Instance> = kept.cloned().collect();
                list.extend(changed);
                list.sort_by(|a, b| a.name.cmp(&b.name));
                list
            }
            Self::Same => before.to_vec(),
        }
    }

    /// The change from the list `before` to the list `after`.
    pub(super) fn between(before: &[Instance], after: &[Instance]) -> Self {
        let old: BTreeMap<&str, &Instance> = before
            .iter()
            .map(|instance| (instance.name.as_str(), instance))
            .collect();
        let new: BTreeSet<&str> = after
            .iter()
            .map(|instance| instance.name.as_str())
            .collect();
        let changed = after
            .iter()
            .filter(|instance| old.get(instance.name.as_str()) != Some(instance));
        let gone = before
            .iter()
            .filter(|instance| !new.contains(instance.name.as_str()))
            .map(|instance| instance.name.clone());
        Self::Part {
            changed: changed.cloned().collect(),
            gone: gone.collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::InstanceState;

    fn list(names: &[(&str, u16)]) -> Vec<Instance> {
        names
            .iter()
            .map(|(name, port)| Instance {
                admin: ([127, 0, 0, 1], *port).into(),
                data_centre: "hall".into(),
                links: ([127, 0, 0, 1], *port).into(),
                name: (*name).into(),
                pool: None,
                state: InstanceState::Live,
            })
            .collect()
    }

    #[test]
    fn applying_the_change_between_two_lists_gives_the_second() {
        let lists = [
            list(&[]),
            list(&[("a", 1)]),
            list(&[("a", 2), ("b", 1)]),
            list(&[("b", 1), ("c", 1)]),
        ];
        for before in &lists {
            for after in &lists {
                let change = InstancesChange::between(before, after);
                assert_eq!(change.apply(before), *after);
            }
        }
    }
}
