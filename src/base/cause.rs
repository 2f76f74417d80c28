//! The causes of failed requests.

use serde::{
    Deserialize,
    Serialize, //
};

/// Why a request failed. The wire, the logs and the error bodies use the same word.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The backend server accepted the connection, but failed or stalled before a whole answer.
    BackendBroken,
    /// The connection to the backend server could not be opened, or it failed.
    BackendUnreachable,
    BadRequest,
    Cancelled,
    DeadlinePassed,
    Draining,
    /// An earlier request with the same key was started already.
    Duplicate,
    Forbidden,
    /// The link between the entry and the agent closed before the outcome was known.
    LinkLost,
    /// No backend server can take the request.
    NoServer,
    NotFound,
    Overloaded,
    /// The sender's lease or fencing token has been superseded by a newer one.
    StaleFence,
    /// The platform's table gave no usable answer.
    StoreDown,
    TooLarge,
    /// Any cause without a variant of its own.
    Unknown,
    /// The engine's weight version is in doubt, or the engine has not loaded the model.
    VersionUncertain,
}

impl Cause {
    /// The HTTP status of the response to the caller.
    pub fn status(self) -> u16 {
        match self {
            Self::BackendBroken | Self::BackendUnreachable | Self::LinkLost => 502,
            Self::BadRequest => 400,
            Self::Cancelled => 499,
            Self::DeadlinePassed => 504,
            Self::Draining
            | Self::NoServer
            | Self::StoreDown
            | Self::Unknown
            | Self::VersionUncertain => 503,
            Self::Duplicate | Self::StaleFence => 409,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Overloaded => 429,
            Self::TooLarge => 413,
        }
    }

    /// The kebab-case word for this cause.
    pub fn word(self) -> &'static str {
        match self {
            Self::BackendBroken => "backend-broken",
            Self::BackendUnreachable => "backend-unreachable",
            Self::BadRequest => "bad-request",
            Self::Cancelled => "cancelled",
            Self::DeadlinePassed => "deadline-passed",
            Self::Draining => "draining",
            Self::Duplicate => "duplicate",
            Self::Forbidden => "forbidden",
            Self::LinkLost => "link-lost",
            Self::NoServer => "no-server",
            Self::NotFound => "not-found",
            Self::Overloaded => "overloaded",
            Self::StaleFence => "stale-fence",
            Self::StoreDown => "store-down",
            Self::TooLarge => "too-large",
            Self::Unknown => "unknown",
            Self::VersionUncertain => "version-uncertain",
        }
    }
}
