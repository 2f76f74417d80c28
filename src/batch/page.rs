//! Reassembles results from the rows of the store.

use super::{
    Sample,
    decode, //
};
use crate::store::Listing;
use bytes::Bytes;

/// Consecutive results, starting at the requested position.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    pub samples: Vec<Sample>,
}

/// A page is full once its texts have this size.
const FULL_PAGE_BYTES: usize = 700 * 1024;

/// Reads the results in `listing`, whose first row belongs to the result at position
/// `first`. The page ends when it is full, and before a damaged or incomplete result.
pub fn read_page(first: usize, listing: &Listing) -> Page {
    let mut page = Page::default();
    let mut bytes = 0;
    let mut rows = listing.rows.iter().peekable();
    while rows.peek().is_some() && bytes < FULL_PAGE_BYTES {
        let position = first + page.samples.len();
        let prefix = format!("{position:06}/");
        let mut pieces: Vec<&Bytes> = Vec::new();
        while let Some(row) = rows.next_if(|row| row.key.starts_with(&prefix)) {
            pieces.extend(row.value.as_ref());
        }
        let Some(whole) = join_pieces(&pieces) else {
            break;
        };
        let Some(sample) = decode::<Sample>("result", &whole) else {
            break;
        };
        bytes += sample.text.len();
        page.samples.push(sample);
    }
    page
}

/// Joins the pieces of one encoded result; `None` unless there are as many as the first
/// byte says.
fn join_pieces(pieces: &[&Bytes]) -> Option<Vec<u8>> {
    let count = *pieces.first()?.first()?;
    if pieces.len() != usize::from(count) {
        return None;
    }
    let mut whole = Vec::new();
    for piece in pieces {
        whole.extend_from_slice(piece.get(1..)?);
    }
    Some(whole)
}
