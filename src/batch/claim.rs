//! Who runs which bundle.

use serde::{
    Deserialize,
    Serialize, //
};

/// A runner's word that it runs a bundle. Claims are advice that keeps two
/// runners from doing the same work; the log alone decides what is listed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    pub holder: String,
    /// A second runner that races the holder for a straggling bundle.
    pub second: Option<String>,
    /// The holder's life, so that a restarted holder disowns what it had.
    pub token: u64,
}

impl Claim {
    /// The word of a former holder that nobody runs the bundle.
    pub fn released() -> Self {
        Self {
            holder: String::new(),
            second: None,
            token: 0,
        }
    }

    /// Whether nobody runs the bundle, by its former holder's word.
    pub fn is_released(&self) -> bool {
        self.holder.is_empty()
    }

    /// Whether `other` is the same claim, perhaps written by another try.
    pub fn is_same_claim(&self, other: &Self) -> bool {
        let fields = |claim: &Self| (claim.holder.clone(), claim.token, claim.second.clone());
        fields(self) == fields(other)
    }
}

/// A runner's sign of life.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Heartbeat {
    /// The version that its engine holds of the model that it serves first.
    pub held: u64,
    /// The model that it serves first.
    pub home: Option<String>,
    /// It takes no new bundles.
    pub leaving: bool,
    /// It is changing the weights of its engine.
    pub loading: bool,
    /// What its engine takes for an event, in ms; 0 before the first.
    pub pace: f64,
    pub sequence: u64,
    /// The service of its engine.
    pub service: String,
    /// Whether its engine counts as slower than usual.
    pub slower: bool,
    /// Whether its engine has counted as slower for a while.
    pub steady: bool,
    /// Names this life of the runner.
    pub token: u64,
    /// Whether its engine answers and takes work.
    pub working: bool,
}
