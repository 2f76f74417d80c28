//! Orders to a model engine, and its confirmed state.

use crate::base::{
    Fence,
    WeightVersion, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::collections::BTreeMap;

/// What an order asks the engine to do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a model, or replaces its weights in place.
    Load { version: WeightVersion },
    /// Changes the engine's role, for example to `prefill` or `decode`.
    Role { role: String },
    /// Removes a model from the engine.
    Unload,
}

/// An order with its fencing token, by which agents reject older orders.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Order {
    pub fence: Fence,
    pub kind: OrderKind,
    /// The path of the row of the lease whose epoch is `fence`.
    pub lease: String,
    pub model: String,
}

/// The state of one model, as the engine confirms it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelState {
    /// The number of loads of this model begun since the engine started.
    pub loads: u64,
    /// The version of the weights; `None` while they are not all of one version.
    pub version: Option<WeightVersion>,
}

/// The state of an engine, as the engine confirms it.
///
/// If two states are equal, no weights changed between them, because `boot` and `loads`
/// only grow.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Identifies the engine's start; a later start has a higher number.
    pub boot: u64,
    /// The highest fencing token that the engine has seen; `None` if it checks none.
    #[serde(default)]
    pub fence: Option<Fence>,
    /// The models on the engine, by name.
    pub models: BTreeMap<String, ModelState>,
}

impl EngineState {
    /// The version of `model`; `None` if the engine does not have the model or its weights
    /// are not all of one version.
    pub fn version(&self, model: &str) -> Option<WeightVersion> {
        self.models.get(model)?.version
    }
}
