//! Who is at the other end of a link.

use crate::base::Incarnation;
use serde::{
    Deserialize,
    Serialize, //
};

/// What kind of process speaks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    Agent,
    Entry,
}

/// The first message in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    pub incarnation: Incarnation,
    pub instance: String,
    /// Proof of belonging to this deployment, see `settings`.
    pub key: String,
    pub role: Role,
}
