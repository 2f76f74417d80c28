//! Orders to a backend server, and its confirmed state.

use crate::base::{
    Fence,
    WeightVersion, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;

/// What a backend server is told to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model, or swaps its weights in place.
    Load { version: WeightVersion },
    /// Changes what the engine does, for example `prefill` or `decode`.
    Role { role: String },
    /// Drops a model.
    Unload,
}

/// An order with the number that fences off older ones.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    pub fence: Fence,
    pub kind: OrderKind,
    /// The table row of the lease that `fence` is the epoch of.
    pub lease: String,
    pub model: String,
}

/// A model on an engine, as the engine itself confirms it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelState {
    /// Counts loads of this model since the engine's boot, begun ones too.
    pub loads: u64,
    /// Absent while the weights in place are no one version.
    pub version: Option<WeightVersion>,
}

/// An engine's state, as the engine itself confirms it.
///
/// Two equal states enclose a time in which nothing changed, because `boot`
/// and `loads` only grow.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    pub boot: u64,
    /// The highest fencing number seen, where the engine checks them.
    #[serde(default)]
    pub fence: Option<Fence>,
    pub models: BTreeMap<String, ModelState>,
}

impl EngineState {
    /// The version of `model`, when it is whole.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.get(model)?.version
    }
}
