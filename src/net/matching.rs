//! Matches answers with the requests that they belong to.
//!
//! A faulty peer may answer a request twice, the second time late: where the answer to the next
//! request on the same connection is expected.

use hyper::{
    HeaderMap,
    header::{HeaderName, HeaderValue}, //
};
use snafu::Snafu;
use std::hash::{
    DefaultHasher,
    Hash,
    Hasher, //
};

/// How a peer's answers are matched with the requests to it.
#[derive(Clone, Debug)]
pub enum Matching {
    /// By the id that a request carries in this header and its answer repeats.
    Id(HeaderName),
    /// By their order alone, for answers without an id.
    Order,
}

/// A request on a connection; requests with the same id have the same key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RequestKey(u64);

impl RequestKey {
    pub(super) fn of(id: &HeaderValue) -> Self {
        let mut hasher = DefaultHasher::new();
        id.as_bytes().hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Why an answer doesn't belong to the request that awaits one.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum Mismatch {
    #[snafu(display("the answer has no id"))]
    NoId,
    #[snafu(display("the answer has the id of another request"))]
    OtherId,
    #[snafu(display("the answer has several ids"))]
    SeveralIds,
    #[snafu(display("the answer has an id, its request has none"))]
    UnsolicitedId,
}

impl Mismatch {
    /// The label of metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::NoId => "no-id",
            Self::OtherId => "other-id",
            Self::SeveralIds => "several-ids",
            Self::UnsolicitedId => "unsolicited-id",
        }
    }
}

impl Matching {
    /// The id that `request` carries; `None` if its answer can only be matched by its order.
    pub(super) fn id_of<'a>(&self, request: &'a HeaderMap) -> Option<&'a HeaderValue> {
        match self {
            Self::Id(header) => request.get(header),
            Self::Order => None,
        }
    }

    /// Checks that the answer with the headers `answer` belongs to the request with this id.
    pub(super) fn check(
        &self,
        id: Option<&HeaderValue>,
        answer: &HeaderMap,
    ) -> Result<(), Mismatch> {
        let Self::Id(header) = self else {
            return Ok(());
        };
        let mut found = answer.get_all(header).iter();
        match (id, found.next(), found.next()) {
            (_, Some(_), Some(_)) => Err(Mismatch::SeveralIds),
            (None, None, _) => Ok(()),
            (None, Some(_), None) => Err(Mismatch::UnsolicitedId),
            (Some(_), None, _) => Err(Mismatch::NoId),
            (Some(id), Some(found), None) if id == found => Ok(()),
            (Some(_), Some(_), None) => Err(Mismatch::OtherId),
        }
    }
}
