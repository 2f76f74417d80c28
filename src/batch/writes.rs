//! Builds the transactions that write batches and results.

use super::{
    BODIES,
    Head,
    Item,
    Log,
    RESULTS,
    Sample,
    Submission,
    WORK,
    WorkKey,
    batch_part,
    encode, //
};
use crate::{
    base::Millis,
    store::{Key, Transaction}, //
};
use bytes::Bytes;

/// The transactions that store a new batch, in the order in which they must be done.
///
/// Only the last one, which contains the head, makes the batch exist. Chunks that don't
/// fit into it are written before. Every attempt writes the same chunks, so a repeated
/// submission, or two at the same time, changes nothing.
#[derive(Debug)]
pub struct AcceptTransactions {
    pub chunks: Vec<Transaction>,
    pub head: Transaction,
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

/// The transactions that store `submission`, accepted at `now` by the store's clock.
pub fn accept_transactions(submission: &Submission, now: Millis) -> AcceptTransactions {
    let part = batch_part(&submission.id);
    let (head, item_chunks) = Head::of(submission, now);
    let mut rows: Vec<(Key, Bytes)> = item_chunks
        .iter()
        .enumerate()
        .map(|(index, chunk)| chunk_row(&part, index as u16, chunk))
        .collect();

    // The last transaction takes the remaining chunks that fit beside the head.
    let mut chunks = Vec::new();
    while !fits(&rows) {
        let mut transaction = Transaction::default();
        let mut bytes = 0;
        while let Some((_, value)) = rows.first() {
            bytes += value.len();
            let full =
                bytes > MAX_TRANSACTION_BYTES || transaction.set.len() == MAX_TRANSACTION_ROWS;
            if full && !transaction.set.is_empty() {
                break;
            }
            transaction.set.push(rows.remove(0));
        }
        chunks.push(transaction);
    }

    let head_key = Key::new(WORK, &part, WorkKey::Head.to_string());
    let log_key = Key::new(WORK, &part, WorkKey::Log.to_string());
    let mut set = rows;
    set.push((head_key.clone(), encode(&head)));
    set.push((log_key, encode(&Log::default())));
    AcceptTransactions {
        chunks,
        head: Transaction {
            expect: vec![(head_key, 0)],
            remove: Vec::new(),
            set,
        },
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

fn chunk_row(part: &str, index: u16, items: &[Item]) -> (Key, Bytes) {
    (Key::new(BODIES, part, chunk_key(index)), encode(&items))
}

fn fits(rows: &[(Key, Bytes)]) -> bool {
    let bytes: usize = rows.iter().map(|(_, value)| value.len()).sum();
    rows.len() <= MAX_TRANSACTION_ROWS && bytes <= MAX_TRANSACTION_BYTES
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
