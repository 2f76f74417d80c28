//! Builds the transactions that write batches and results.

use super::{
    BODIES,
    Head,
    Item,
    Log,
    RESULTS,
    Sample,
    WORK,
    WorkKey,
    batch_part,
    encode, //
};
use crate::store::{
    Key,
    Transaction, //
};
use bytes::Bytes;

/// The transactions that store a new batch, in the order in which they must be done. Each is
/// built when it is needed.
///
/// Only the last one, which contains the head, makes the batch exist. Chunks that don't
/// fit into it are written before. Every attempt writes the same chunks, so a repeated
/// submission, or two at the same time, changes nothing.
pub struct BatchWrites<F> {
    head: Head,
    /// Decodes the item at an index.
    item: F,
    /// The index of the first item that is in no row yet.
    next: usize,
    part: String,
    /// The rows of the next transaction.
    rows: Vec<(Key, Bytes)>,
    /// The head was written.
    written: bool,
}

/// The maximum size of a transaction's values: the store accepts requests of 1 MB, and
/// base64 makes the values a third longer.
const MAX_TRANSACTION_BYTES: usize = 600 * 1024;

/// The maximum number of rows in a transaction; the store accepts 100.
const MAX_TRANSACTION_ROWS: usize = 90;

/// The maximum size of one piece of a result; larger results take several rows.
const MAX_RESULT_PIECE_BYTES: usize = 44 * 1024;

/// The key in [`BODIES`] of the chunk with this number.
pub fn chunk_key(chunk: u16) -> String {
    format!("{chunk:05}")
}

impl<E, F: Fn(usize) -> Result<Item, E>> BatchWrites<F> {
    /// The transactions that store the batch `id` with this head, whose items `item` decodes.
    pub fn new(id: &str, head: Head, item: F) -> Self {
        Self {
            head,
            item,
            next: 0,
            part: batch_part(id),
            rows: Vec::new(),
            written: false,
        }
    }

    /// The next transaction, and whether it is the last one; `None` after the last one.
    ///
    /// # Errors
    ///
    /// The error of `item`.
    pub fn next_transaction(&mut self) -> Result<Option<(Transaction, bool)>, E> {
        if self.written {
            return Ok(None);
        }
        while self.next < self.head.items.len() {
            let row = self.chunk_row()?;
            if !fits(&self.rows, &row.1) {
                let set = std::mem::replace(&mut self.rows, vec![row]);
                let transaction = Transaction {
                    set,
                    ..Transaction::default()
                };
                return Ok(Some((transaction, false)));
            }
            self.rows.push(row);
        }
        self.written = true;
        let key = |key: WorkKey| Key::new(WORK, &self.part, key.to_string());
        let head_key = key(WorkKey::Head);
        let mut set = std::mem::take(&mut self.rows);
        set.push((head_key.clone(), encode(&self.head)));
        set.push((key(WorkKey::Log), encode(&Log::default())));
        let transaction = Transaction {
            expect: vec![(head_key, 0)],
            remove: Vec::new(),
            set,
        };
        Ok(Some((transaction, true)))
    }

    /// The row of the next chunk of items.
    fn chunk_row(&mut self) -> Result<(Key, Bytes), E> {
        let places = &self.head.items;
        let chunk = places[self.next].chunk;
        let end = places[self.next..].partition_point(|place| place.chunk == chunk);
        let items = (self.next..self.next + end).map(&self.item);
        let items = items.collect::<Result<Vec<Item>, E>>()?;
        self.next += end;
        let key = Key::new(BODIES, &self.part, chunk_key(chunk));
        Ok((key, encode(&items)))
    }
}

/// Lists `samples`, given with their items' indices, after the results in `log`.
/// Returns the new log and the transaction that writes it, which is conditional on the
/// log's row still having `revision`. Leaves out each result of an item that is listed
/// already, by `log` or by an earlier one of the `samples`.
pub fn append_transaction(
    id: &str,
    log: &Log,
    revision: u64,
    samples: &[(u16, Sample)],
) -> (Log, Transaction) {
    let part = batch_part(id);
    let log_key = Key::new(WORK, &part, WorkKey::Log.to_string());
    let mut next = log.clone();
    let mut set = Vec::new();
    for (index, sample) in samples {
        if let Some(position) = next.list(*index) {
            set.extend(result_rows(&part, position, sample));
        }
    }
    set.push((log_key.clone(), encode(&next)));
    let transaction = Transaction {
        expect: vec![(log_key, revision)],
        remove: Vec::new(),
        set,
    };
    (next, transaction)
}

/// Whether a further row with this value fits into a transaction of `rows`.
fn fits(rows: &[(Key, Bytes)], value: &Bytes) -> bool {
    let bytes: usize = rows.iter().map(|(_, value)| value.len()).sum();
    rows.len() < MAX_TRANSACTION_ROWS && bytes + value.len() <= MAX_TRANSACTION_BYTES
}

/// The rows of a result, with keys `POSITION/PIECE`. The first byte of each value is
/// the number of pieces.
fn result_rows(part: &str, position: usize, sample: &Sample) -> Vec<(Key, Bytes)> {
    let whole = encode(sample);
    let pieces = whole.chunks(MAX_RESULT_PIECE_BYTES);
    let count = pieces.len() as u8;
    pieces
        .enumerate()
        .map(|(piece, bytes)| {
            let mut value = Vec::with_capacity(bytes.len() + 1);
            value.push(count);
            value.extend_from_slice(bytes);
            let key = format!("{position:06}/{piece:03}");
            (Key::new(RESULTS, part, key), value.into())
        })
        .collect()
}
