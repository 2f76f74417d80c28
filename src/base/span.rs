//! Records which weight version produced which tokens of a generation.

use super::WeightVersion;
use serde::{
    Deserialize,
    Serialize, //
};

/// Tokens `from..to` of a generation were produced by `version`.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Span {
    pub from: u32,
    pub to: u32,
    pub version: WeightVersion,
}

impl Span {
    /// Whether `spans` cover the tokens `0..tokens` in order and without gaps.
    pub fn covers(spans: &[Self], tokens: u32) -> bool {
        let mut next = 0;
        for span in spans {
            if span.from != next || span.to < span.from {
                return false;
            }
            next = span.to;
        }
        next == tokens
    }

    /// Appends all spans of `more` as [`Span::push`] does.
    pub fn extend(spans: &mut Vec<Self>, more: impl IntoIterator<Item = Self>) {
        for span in more {
            Self::push(spans, span);
        }
    }

    /// The oldest version among `spans`.
    pub fn oldest(spans: &[Self]) -> Option<WeightVersion> {
        spans.iter().map(|span| span.version).min()
    }

    /// Appends `span` unless it is empty. Merges it with the last span if that one ends where
    /// `span` begins and has the same version.
    pub fn push(spans: &mut Vec<Self>, span: Self) {
        if span.from == span.to {
            return;
        }
        match spans.last_mut() {
            Some(last) if last.version == span.version && last.to == span.from => last.to = span.to,
            _ => spans.push(span),
        }
    }
}
