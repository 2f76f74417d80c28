//! Claims, by which runners divide bundles among themselves, and their heartbeats.

use serde::{
    Deserialize,
    Serialize, //
};

/// A runner's announcement that it runs a bundle. Claims are advisory: they keep two
/// runners from doing the same work. Only the log decides whose result is listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// The instance of the runner that holds the claim; empty for a released claim.
    pub holder: String,
    /// The instance of a second runner that runs the same bundle, because the holder's run
    /// is a straggler.
    pub second: Option<String>,
    /// The holder's incarnation: a claim from before the holder's restart is void.
    pub token: u64,
}

impl Claim {
    /// The claim that a former holder writes to release the bundle.
    pub fn released() -> Self {
        Self {
            holder: String::new(),
            second: None,
            token: 0,
        }
    }

    /// Whether the former holder has released the bundle.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }

    /// Whether `other` is the same claim, possibly written by another attempt.
    pub fn is_same_claim(&self, other: &Self) -> bool {
        let fields = |claim: &Self| (claim.holder.clone(), claim.token, claim.second.clone());
        fields(self) == fields(other)
    }
}

/// A runner's periodic report to the other runners.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The weight version of the home model that the engine has loaded; 0 when none.
    pub held: u64,
    /// The runner's home model: the one that it prefers to serve.
    pub home: Option<String>,
    /// Whether the runner is shutting down and claims no new bundles.
    pub leaving: bool,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// The engine's time per event, in ms; 0 while unknown.
    pub pace: f64,
    /// Counts the heartbeats of this incarnation.
    pub sequence: u64,
    /// The service that the engine belongs to.
    pub service: String,
    /// Whether the engine is currently classified as slower than usual.
    pub slower: bool,
    /// The classification in `slower` that last held for several seconds.
    pub steady: bool,
    /// Identifies the runner's incarnation.
    pub token: u64,
    /// Whether the engine answers and accepts work.
    pub working: bool,
}
