//! The message by which the two ends of a link identify themselves.

use crate::base::Incarnation;
use serde::{
    Deserialize,
    Serialize, //
};

/// The kind of process that sends a hello.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Role {
    Agent,
    Entry,
}

/// The first message of a link in both directions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    pub incarnation: Incarnation,
    /// The name of the sender's instance.
    pub instance: String,
    /// Shows that the sender knows the deployment's key, see `link_key` in the settings.
    pub key: String,
    pub role: Role,
}
