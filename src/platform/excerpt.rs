//! Bounds what log lines show of a row or an answer that can't be decoded.

use std::fmt::Display;

/// The most characters of a text that are shown. A decoder's error quotes the value that it is
/// about, which may be as large as the row.
const MAX_CHARS: usize = 200;

/// The beginning of `text`.
pub(super) fn excerpt(text: impl Display) -> String {
    text.to_string().chars().take(MAX_CHARS).collect()
}
