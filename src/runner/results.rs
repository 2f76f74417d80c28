//! Appends the results of finished items to the batches' logs.

use super::{
    event::Event,
    run_item::ItemEnd,
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    batch::{Log, WORK, WorkKey, append_transaction, batch_part, decode},
    platform::Store,
    store::{Key, StoreError, Transaction, TransactionOutcome}, //
};

/// The wait after a failed write before the log is read to learn its outcome.
const READ_BACK_DELAY: Millis = Millis(80);

impl WorkLoop {
    /// Keeps the result of an ended run until it is listed, and releases the bundles that
    /// have nothing running any more.
    pub(super) fn on_item_ended(&mut self, batch_id: &str, index: u16, end: ItemEnd) {
        let Some(batch) = self.batches.get_mut(batch_id) else {
            return;
        };
        batch.running.remove(&index);
        match end {
            ItemEnd::Done(sample) => {
                let (item, state) = (sample.id.clone(), sample.state);
                if !batch.add_result(index, sample) {
                    tracing::info!(batch = batch_id, item, ?state, "result not needed");
                }
            }
            ItemEnd::Dropped => {
                tracing::info!(batch = batch_id, index, "run dropped without a result");
            }
        }
        // Checked after a complete run as well: otherwise, items of the bundle that were
        // dropped before it ended stayed claimed here, and ran nowhere until they were
        // given up.
        for bundle in batch.release_idle() {
            self.give_back(batch_id, bundle);
        }
    }

    /// Appends the waiting results of each batch to its log, with at most one transaction
    /// per batch in flight.
    pub(super) fn append_results(&mut self) {
        for (id, batch) in &mut self.batches {
            if batch.appending || batch.results.is_empty() || batch.log_revision == 0 {
                continue;
            }
            let samples = batch.results.next_append();
            batch.appending = true;
            let before = batch.log.listed().len();
            let (log, transaction) =
                append_transaction(id, &batch.log, batch.log_revision, &samples);
            let count = log.listed().len() - before;
            let (store, events, batch) = (self.store.clone(), self.events.clone(), id.clone());
            tokio::spawn(async move {
                let outcome = transact_or_read(&store, &batch, &transaction).await;
                let event = Event::ResultsAppended {
                    batch,
                    count,
                    log,
                    outcome,
                };
                let _ = events.send(event).await;
            });
        }
    }

    /// Applies the log as the store has it after an append. Results that were not listed
    /// stay in memory for the next append.
    pub(super) fn on_results_appended(
        &mut self,
        id: &str,
        count: usize,
        log: Log,
        outcome: Result<TransactionOutcome, StoreError>,
    ) {
        let Some(batch) = self.batches.get_mut(id) else {
            return;
        };
        batch.appending = false;
        match outcome {
            Ok(TransactionOutcome::Done { revision }) => {
                // Counted from `log`: the feed may have set the batch's log to it already.
                let listed = log.listed();
                let new = &listed[listed.len().saturating_sub(count)..];
                let (count, total) = (listed.len(), batch.head.items.len());
                let ids = new
                    .iter()
                    .filter_map(|index| batch.head.items.get(usize::from(*index)))
                    .map(|item| item.id.as_str());
                let items = ids.collect::<Vec<&str>>().join(" ");
                tracing::info!(batch = id, items, count, total, revision, "results listed");
                batch.set_log(log, revision);
            }
            Ok(TransactionOutcome::Conflict { rows }) => {
                for row in rows {
                    let log = row.value.and_then(|value| decode::<Log>("log", &value));
                    if let (Some(log), Some(WorkKey::Log)) = (log, WorkKey::parse(&row.key)) {
                        batch.set_log(log, row.revision);
                    }
                }
            }
            Err(error) => {
                let waiting = batch.results.len();
                tracing::warn!(batch = id, waiting, %error, "results not appended, kept in memory");
            }
        }
    }
}

/// Writes an append. If its outcome is unknown, reads the log row and returns it as a
/// conflict. A late copy of the write does no harm: it expects a log revision that the
/// next append replaces.
async fn transact_or_read(
    store: &Store,
    batch: &str,
    transaction: &Transaction,
) -> Result<TransactionOutcome, StoreError> {
    let error = match store.transact(transaction).await {
        Ok(outcome) => return Ok(outcome),
        Err(error) => error,
    };
    tokio::time::sleep(READ_BACK_DELAY.as_duration()).await;
    let key = Key::new(WORK, batch_part(batch), WorkKey::Log.to_string());
    match store.row(&key).await {
        Ok(Some(row)) => Ok(TransactionOutcome::Conflict { rows: vec![row] }),
        Ok(None) | Err(_) => Err(error),
    }
}
