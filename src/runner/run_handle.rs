//! Starts the run of an item, and stops it when nobody needs it any more.
//!
//! A stopped run whose stream is about to end is drained: the rest of the stream is read and
//! discarded, so that its connection is kept. Any other run is cut, which closes its
//! connection and tells the engine to stop.

use super::{
    event::Event,
    open_batch::OpenBatch,
    run_item::{self, Engine, Task},
    work::WorkLoop, //
};
use crate::{
    base::Millis,
    net::{CallError, StreamBody},
    policy::{
        claim_choice::usable_slots,
        connection_limit::{EngineSpeed, UnneededRun}, //
    },
};
use bytes::Bytes;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering}, //
};
use tokio::{
    sync::{mpsc, oneshot},
    task::AbortHandle, //
};

/// The response that a run is reading. It outlives the run if that is drained.
#[derive(Default)]
pub(super) struct RunStream {
    body: Option<StreamBody>,
    /// The number of events of the text while the stream is open, and 0 before its first.
    events: Arc<AtomicUsize>,
}

impl RunStream {
    /// Begins to read `body`.
    pub(super) fn open(&mut self, body: StreamBody) {
        self.body = Some(body);
    }

    /// Waits at most `timeout` for the next bytes; `None` at the stream's end.
    pub(super) async fn next(&mut self, timeout: Millis) -> Result<Option<Bytes>, CallError> {
        match &mut self.body {
            Some(body) => body.next(timeout).await,
            None => Ok(None),
        }
    }

    /// Publishes the number of events of the text.
    pub(super) fn set_events(&self, events: usize) {
        self.events.store(events, Ordering::Relaxed);
    }

    /// Closes the connection, unless the stream has been read to its end.
    pub(super) fn close(&mut self) {
        self.set_events(0);
        self.body = None;
    }

    /// Reads and discards the rest of the stream. Its connection is closed after
    /// [`MAX_DRAIN_TIME`], or if it breaks.
    async fn drain(&mut self) {
        let reading = async { while let Ok(Some(_)) = self.next(MAX_DRAIN_TIME).await {} };
        let _ = tokio::time::timeout(MAX_DRAIN_TIME.as_duration(), reading).await;
    }
}

/// How long a drained run may take. The expected rest is less than 1 s, and estimates of
/// lengths are off by half.
const MAX_DRAIN_TIME: Millis = Millis(2_000);

/// The run of an item in progress.
pub(super) struct RunHandle {
    /// Tells the run to drain its stream; `None` once it was told, or if runs are never
    /// drained here.
    drain: Option<oneshot::Sender<()>>,
    /// See [`RunStream::events`].
    events: Arc<AtomicUsize>,
    /// The text's expected tokens; 0 if unknown.
    expected: u32,
    item: String,
    task: AbortHandle,
}

impl RunHandle {
    /// Starts the run of `task`, which sends its end to `events`.
    pub(super) fn start(engine: Engine, task: Task, events: mpsc::Sender<Event>) -> Self {
        let (drain, drained) = oneshot::channel();
        let mut stream = RunStream::default();
        let (item, expected) = (task.item.id.clone(), task.item.expected);
        let (drains, published) = (engine.drains_runs, stream.events.clone());
        let run = tokio::spawn(async move {
            let (batch, index) = (task.batch.clone(), task.index);
            let drained = async {
                // A handle that was dropped does not stop the run.
                if drained.await.is_err() {
                    std::future::pending::<()>().await;
                }
            };
            let end = tokio::select! {
                end = run_item::run(engine, task, &mut stream) => end,
                () = drained => {
                    stream.drain().await;
                    return;
                }
            };
            let _ = events.send(Event::ItemEnded { batch, index, end }).await;
        });
        Self {
            drain: drains.then_some(drain),
            events: published,
            expected,
            item,
            task: run.abort_handle(),
        }
    }

    /// Whether the run may be drained rather than cut.
    pub(super) fn may_drain(&self) -> bool {
        self.drain.is_some()
    }

    /// Ends the run and closes its connection.
    pub(super) fn cut(&self) {
        self.task.abort();
    }

    fn unneeded(&self) -> UnneededRun {
        UnneededRun {
            events: self.events.load(Ordering::Relaxed),
            expected: self.expected,
        }
    }
}

impl WorkLoop {
    /// The number of items that run on the engine or will be started there. Drained runs are
    /// not counted: they give way to all work.
    pub(super) fn load(&self) -> u32 {
        let held: usize = self.batches.values().map(OpenBatch::load).sum();
        held as u32
    }

    /// Drains or cuts the runs that were stopped. Cuts the drained runs whose slots are
    /// wanted by this runner's items, which start regardless of drained runs, and all of them
    /// before a load of weights that waits for all runs. `usual` is the usual pace of the
    /// service's engines, in ms per event.
    pub(super) fn settle_stopped_runs(&mut self, usual: f64) {
        let batches = self.batches.values_mut();
        let stopped = batches.flat_map(|batch| std::mem::take(&mut batch.stopped));
        let mut stopped: Vec<RunHandle> = stopped.collect();
        self.drained_runs.retain(|run| !run.task.is_finished());
        if stopped.is_empty() && self.drained_runs.is_empty() {
            return;
        }
        let blocked = self.leaving || self.is_finishing_runs() || !self.engine_accepts_work();
        let mut free = match blocked {
            true => 0,
            false => usable_slots(self.slots, self.pace, usual).saturating_sub(self.load()),
        };
        let kept = self.drained_runs.len().min(free as usize);
        // The first drained runs are the next to end.
        for run in self.drained_runs.split_off(kept) {
            tracing::info!(item = run.item, "run cut: its slot is wanted");
            run.cut();
        }
        free -= kept as u32;

        let speed = EngineSpeed {
            pace: self.pace,
            token_ms: self.engine.rate().token_ms(),
        };
        stopped.sort_by_key(|run| run.unneeded().rest(speed));
        for mut run in stopped {
            let unneeded = run.unneeded();
            let rest = unneeded.rest(speed).map(|rest| rest.0);
            let (item, events) = (&run.item, unneeded.events);
            let drain = run.drain.take();
            match drain.filter(|_| unneeded.is_drained(speed, free)) {
                Some(drain) => {
                    tracing::info!(item, events, ?rest, free, "run drained");
                    let _ = drain.send(());
                    free -= 1;
                    self.drained_runs.push(run);
                }
                None => {
                    tracing::info!(item, events, ?rest, free, "run cut");
                    run.cut();
                }
            }
        }
    }
}
