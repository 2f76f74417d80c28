//! Runs one item on the engine until its text is complete and scored.

use super::{
    engine_crash::BrokenRun,
    progress::Progress,
    run_handle::RunStream,
    score::{ScoreEnd, ScorerClient},
    text::{EventError, Text}, //
};
use crate::{
    base::{Clock, Fingerprint, FingerprintInput, Millis},
    batch::{Item, Partial, Sample, SampleState},
    duty::Shutdown,
    net::{CallError, Peer, StreamingResponse},
    platform::{
        EngineRequest, EventReader, Store, answering_server, initial_weight_version,
        is_client_path, is_refusal,
    },
    policy::{
        engine_incarnation::Mismatch, pace::Pace, step_mode::Rate, version_rule::VersionRule,
    },
    routing::ServerIncarnation,
    view::Crashes, //
};
use hyper::{
    HeaderMap,
    Method,
    StatusCode, //
};
use std::sync::{
    Arc,
    Mutex,
    MutexGuard,
    PoisonError, //
};
use tokio::sync::watch;

/// How an item's run ended.
#[derive(Debug)]
pub(super) enum ItemEnd {
    /// The item has its result, to be listed.
    Done(Sample),
    /// The item is left to another run: the engine accepts no work, or the item's time here is
    /// over.
    Dropped,
}

/// The engine and the state that all item runs on it share.
#[derive(Clone)]
pub(super) struct Engine {
    /// Runs whose connection broke while the engine seemed to be alive.
    pub(super) broken_runs: Arc<Mutex<Vec<BrokenRun>>>,
    pub(super) clock: Clock,
    pub(super) crashes: Arc<Crashes>,
    /// Whether the streams of unneeded runs may be read to their end.
    pub(super) drains_runs: bool,
    /// The crash that a run detected last; `None` once the engine was seen alive after it.
    pub(super) last_crash: watch::Sender<Option<DetectedCrash>>,
    /// The last refusal by another incarnation than the one that was addressed.
    pub(super) mismatch: watch::Sender<Option<Mismatch>>,
    /// The engine's pace, measured by all runs.
    pub(super) pace: Arc<Mutex<Pace>>,
    pub(super) peer: Peer,
    /// The time that the engine's slots take per expected token.
    pub(super) rate: Arc<Mutex<Rate>>,
    /// The engine's current incarnation; `None` while it accepts no work.
    pub(super) incarnation: watch::Receiver<Option<ServerIncarnation>>,
    pub(super) scorer_client: Arc<ScorerClient>,
    pub(super) shutdown: Arc<Shutdown>,
    pub(super) store: Store,
}

/// A crash of the engine that a run has detected.
#[derive(Clone, Debug)]
pub(super) struct DetectedCrash {
    pub(super) at: Millis,
    pub(super) incarnation: ServerIncarnation,
}

impl Engine {
    /// Locks the engine's pace; callers hold the lock only briefly.
    pub(super) fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the time per expected token; callers hold the lock only briefly.
    pub(super) fn rate(&self) -> MutexGuard<'_, Rate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the engine has another incarnation than `incarnation`. The connection
    /// to an engine that lost power hangs: without this wait its runs restarted only
    /// after the idle timeout of their streams, 2.5 s later.
    async fn wait_replaced(&self, incarnation: &ServerIncarnation) {
        let mut current = self.incarnation.clone();
        let other =
            |now: &Option<ServerIncarnation>| now.as_ref().is_some_and(|now| now != incarnation);
        if current.wait_for(other).await.is_err() {
            // The work loop has ended, and with it all runs.
            std::future::pending::<()>().await;
        }
    }

    /// Records the answering incarnation if an answer refuses a request because it was
    /// addressed to another one, `expected`.
    pub(super) fn record_mismatch(&self, expected: &str, status: StatusCode, headers: &HeaderMap) {
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let Some(found) = answering_server(headers).filter(|found| *found != expected) else {
            return;
        };
        let new = Mismatch {
            at: self.clock.now(),
            expected: expected.to_owned(),
            found: found.to_owned(),
        };
        self.mismatch.send_if_modified(|known| {
            let same =
                |known: &Mismatch| (&known.expected, &known.found) == (&new.expected, &new.found);
            if known.as_ref().is_some_and(same) {
                return false;
            }
            tracing::info!(
                expected,
                found,
                "the engine has another incarnation than expected"
            );
            *known = Some(new);
            true
        });
    }
}

/// One item to run.
pub(super) struct Task {
    pub(super) batch: String,
    /// The partial text that an earlier run saved.
    pub(super) partial: Option<Partial>,
    /// Shared with the work loop; `None` if texts are never handed over.
    pub(super) progress: Option<Arc<Progress>>,
    /// Identifies the request in the crash records.
    pub(super) fingerprint: Fingerprint,
    /// The host that its batch was submitted to.
    pub(super) host: String,
    /// Its index in the batch.
    pub(super) index: u16,
    pub(super) item: Item,
    /// The number of failures answered by engines after which the item is given up.
    pub(super) max_failures: u32,
    /// How urgent it is; 0 is the most urgent.
    pub(super) priority: Option<u32>,
    /// The weight versions that may generate its text.
    pub(super) versions: VersionRule,
    /// No attempt starts after this time.
    pub(super) deadline: Millis,
    /// The workspace whose batch it belongs to.
    pub(super) workspace: Option<String>,
}

/// How long the engine may take to answer with headers: a request can wait for a slot,
/// or for a load of weights.
const HEADER_TIMEOUT: Millis = Millis(6_000);

/// How long a stream may send nothing. Events come every few tens of ms; the pauses of an
/// engine that is four times as slow, full and preempting are longer.
const STREAM_IDLE_TIMEOUT: Millis = Millis(2_500);

/// The first and the longest wait before the next attempt at the engine, which may have
/// been full, loading or gone; a load of weights takes about 900 ms.
const RETRY_DELAY: Millis = Millis(60);
const MAX_RETRY_DELAY: Millis = Millis(240);

/// How long reading a refusal's body may take. Reading it to the end lets the next
/// request reuse the connection: without it each refusal cost a new connection, 6,200 in
/// a day of 950 items.
const REFUSAL_BODY_TIMEOUT: Millis = Millis(100);

/// How one attempt at the engine ended.
pub(super) enum RunEnd {
    /// The stream ended after a complete event.
    Whole,
    /// The engine did not run it, or its answer was unusable; it is tried again.
    Refused,
    /// The engine answered that it failed.
    Failed,
    /// The engine answered that the item can never succeed.
    Unprocessable,
    /// The connection failed, broke, fell silent, or brought the answer to another request.
    Broken(CallError),
    /// The engine has restarted, and the run is lost with its previous incarnation.
    Replaced,
    /// The engine has another weight version than the text must keep.
    Reweighted(u64),
    /// The text grew beyond any that an item can have.
    Endless,
}

impl RunEnd {
    /// Whether the engine may have been running the item when the run ended.
    pub(super) fn may_have_run(&self) -> bool {
        !matches!(self, Self::Broken(CallError::Broken { unread: true, .. }))
    }
}

/// Identifies the request of `item`, from a batch for `host`, in the crash records.
pub(super) fn fingerprint(host: &str, item: &Item) -> Fingerprint {
    Fingerprint::of(FingerprintInput {
        body: &item.body,
        caller: &[],
        host,
        id: &item.id,
        method: Method::POST.as_str(),
        path: &item.path,
    })
}

/// Runs the item, with retries, until it has a result or is dropped. Its response is in
/// `stream` while it is read.
pub(super) async fn run(engine: Engine, task: Task, stream: &mut RunStream) -> ItemEnd {
    // Gateways refuse such items, but a batch in the store may be older than they are.
    if !is_client_path(&task.item.path) {
        let (item, path) = (&task.item.id, &task.item.path);
        tracing::warn!(
            item,
            path,
            "item given up: no request may be sent to its path"
        );
        return ItemEnd::Done(terminated(item));
    }
    run_attempts(engine, task, stream).await
}

/// Sends the item to the engine until it has a result or is dropped.
async fn run_attempts(engine: Engine, task: Task, stream: &mut RunStream) -> ItemEnd {
    let now = engine.clock.now();
    let mut text = resume_text(&task, now);
    let mut failures = 0;
    let mut wait = RETRY_DELAY;
    loop {
        // Checked first, as an item that pauses here could run at another engine meanwhile.
        engine.wait_crash_noticed().await;
        if engine.incarnation.borrow().is_none() {
            return ItemEnd::Dropped;
        }
        engine.pause(&task).await;
        let now = engine.clock.now();
        let incarnation = engine.incarnation.borrow().clone();
        let in_time = now < task.deadline && engine.shutdown.admits(task.deadline);
        let Some(incarnation) = incarnation.filter(|_| in_time) else {
            return ItemEnd::Dropped;
        };
        // A run started now would meet an engine that is closing down, and the crash would
        // count against the item.
        if engine.has_detected_crash(&incarnation) {
            continue;
        }
        let begun = text.len();
        text.first_at = None;
        let running = async {
            tokio::select! {
                run = run_once(&engine, &task, &incarnation, &mut text, stream) => run,
                () = engine.wait_replaced(&incarnation) => RunEnd::Replaced,
            }
        };
        let run = running.await;
        stream.close();
        engine
            .record_end(&incarnation, &task, &run, text.first_at)
            .await;
        match run {
            RunEnd::Whole => {
                let (item, events, server) = (&task.item.id, text.len(), &incarnation.id);
                let taken = engine.clock.now().since(now).0;
                let waited = text.first_at.map_or(taken, |first| first.since(now).0);
                if begun == 0 {
                    let run = (taken - waited) as f64;
                    engine.rate().record(task.item.expected, run);
                }
                tracing::info!(
                    item,
                    server,
                    begun,
                    events,
                    waited,
                    taken,
                    "run ended whole"
                );
                break;
            }
            RunEnd::Failed => {
                failures += 1;
                tracing::info!(
                    item = task.item.id,
                    failures,
                    "engine answered with a failure"
                );
            }
            RunEnd::Unprocessable => failures = task.max_failures,
            RunEnd::Refused => {}
            RunEnd::Replaced => {
                let events = text.len();
                let (request, server) = (task.fingerprint, &incarnation.id);
                tracing::info!(item = task.item.id, %request, server, events, "run lost: the engine restarted");
                wait = RETRY_DELAY;
            }
            RunEnd::Endless => {
                let events = text.len();
                tracing::warn!(
                    item = task.item.id,
                    events,
                    "text started again: it has no end"
                );
                discard_text(&task, &mut text, engine.clock.now());
            }
            RunEnd::Reweighted(version) => {
                restart_text(&task, &mut text, version, engine.clock.now());
                wait = RETRY_DELAY;
                continue;
            }
            RunEnd::Broken(error) => {
                let events = text.len();
                let (request, server) = (task.fingerprint, &incarnation.id);
                tracing::info!(item = task.item.id, %request, server, events, %error, "run interrupted");
            }
        }
        if failures >= task.max_failures {
            tracing::warn!(item = task.item.id, failures, "item given up");
            let sample = terminated(&task.item.id);
            return ItemEnd::Done(sample);
        }
        tokio::time::sleep(wait.as_duration()).await;
        wait = Millis((wait.0 * 2).min(MAX_RETRY_DELAY.0));
    }

    finish(&engine, task, text).await
}

/// The text that an earlier run saved, or an empty one.
fn resume_text(task: &Task, now: Millis) -> Text {
    let text = Text::resume(task.partial.clone(), task.versions, now);
    if let Some(partial) = task.partial.as_ref().filter(|_| text.last_id().is_none()) {
        let (item, versions) = (&task.item.id, &partial.versions);
        tracing::info!(item, ?versions, "saved partial text not used");
    }
    if let Some(progress) = &task.progress {
        progress.begin(&text);
    }
    text
}

/// Discards a text that can't be continued, as the engine has the weights `version`.
fn restart_text(task: &Task, text: &mut Text, version: u64, now: Millis) {
    let (item, events, versions) = (&task.item.id, text.len(), text.versions());
    tracing::info!(
        item,
        events,
        ?versions,
        version,
        "text started again: it must keep its weight version"
    );
    discard_text(task, text, now);
}

/// Discards a text, so that the next run begins it anew.
fn discard_text(task: &Task, text: &mut Text, now: Millis) {
    metrics::counter!("redwing_texts_restarted_total").increment(1);
    *text = Text::new(task.versions, now);
    if let Some(progress) = &task.progress {
        progress.begin(text);
    }
}

/// Has a complete text scored and builds the item's result.
async fn finish(engine: &Engine, task: Task, text: Text) -> ItemEnd {
    let score = match &task.item.scorer {
        None => None,
        Some(scorer) => match engine.scorer_client.score(scorer, task.deadline).await {
            ScoreEnd::Given(score) => Some(score),
            ScoreEnd::GivenUp => {
                let sample = terminated(&task.item.id);
                return ItemEnd::Done(sample);
            }
            ScoreEnd::TimedOut => return ItemEnd::Dropped,
        },
    };
    ItemEnd::Done(text.into_sample(task.item.id, score))
}

/// The result of an item that is given up.
pub(super) fn terminated(id: &str) -> Sample {
    Sample {
        id: id.to_owned(),
        score: None,
        state: SampleState::Terminated,
        text: String::new(),
        versions: Vec::new(),
    }
}

/// Sends one request for the item to the engine and reads the answer.
async fn run_once(
    engine: &Engine,
    task: &Task,
    incarnation: &ServerIncarnation,
    text: &mut Text,
    stream: &mut RunStream,
) -> RunEnd {
    let request = EngineRequest {
        after: text.last_id(),
        host: &task.host,
        item: &task.item,
        timeout: task.deadline.since(engine.clock.now()),
        priority: task.priority,
        server: &incarnation.id,
        workspace: task.workspace.as_deref(),
    };
    let may_send = || {
        let current = engine.incarnation.borrow().as_ref() == Some(incarnation);
        current && engine.shutdown.admits(task.deadline)
    };
    let opened = match engine
        .peer
        .open_stream(request.build(), HEADER_TIMEOUT, &may_send)
        .await
    {
        Ok(opened) => opened,
        Err(error) => return RunEnd::Broken(error),
    };
    let status = opened.status.as_u16();
    if status == 200 {
        return read_stream(engine, opened, task, text, stream).await;
    }
    let refused = is_refusal(opened.status, &opened.headers);
    engine.record_mismatch(&incarnation.id, opened.status, &opened.headers);
    opened.body.discard(REFUSAL_BODY_TIMEOUT).await;
    match status {
        422 => RunEnd::Unprocessable,
        500 if !refused => RunEnd::Failed,
        _ => {
            tracing::debug!(
                item = task.item.id,
                status,
                refused,
                "engine did not run the item"
            );
            RunEnd::Refused
        }
    }
}

/// How a run ends whose next event can't be added to its text.
fn unusable_event(task: &Task, error: EventError) -> RunEnd {
    match error {
        EventError::OtherVersion { version } => RunEnd::Reweighted(version),
        EventError::TooLong => RunEnd::Endless,
        EventError::OutOfOrder { .. } | EventError::TooOld { .. } => {
            tracing::warn!(item = task.item.id, %error, "stream not usable");
            RunEnd::Refused
        }
    }
}

/// Reads events into `text` until the stream ends. Only complete events count: after an
/// interruption the next attempt continues after the last of them.
async fn read_stream(
    engine: &Engine,
    opened: StreamingResponse,
    task: &Task,
    text: &mut Text,
    stream: &mut RunStream,
) -> RunEnd {
    let StreamingResponse { body, headers, .. } = opened;
    let Some(mut version) = initial_weight_version(&headers) else {
        tracing::warn!(
            item = task.item.id,
            "engine's answer names no weight version"
        );
        return RunEnd::Refused;
    };
    if task.versions.is_too_old(version) {
        tracing::warn!(
            item = task.item.id,
            version,
            "engine's weights are older than the item requires"
        );
        return RunEnd::Refused;
    }
    // Another version than the text's is refused with its first event, not here: if the text
    // is complete, no event follows.
    if let Some(after) = text.last_id() {
        let (item, versions) = (&task.item.id, text.versions());
        tracing::info!(item, after, version, ?versions, "run continues a text");
    }
    stream.open(body);
    let mut events = EventReader::default();
    let mut event_at = engine.clock.now();
    loop {
        // Only events show progress: bytes that complete none could arrive for ever.
        let idle = engine.clock.now().since(event_at);
        match stream.next(STREAM_IDLE_TIMEOUT - idle).await {
            Ok(Some(bytes)) => events.push(&bytes),
            Ok(None) if events.has_incomplete_event() => {
                tracing::info!(item = task.item.id, "stream ended within an event");
                return RunEnd::Refused;
            }
            Ok(None) => return RunEnd::Whole,
            Err(error) => return RunEnd::Broken(error),
        }
        while let Some(event) = events.next_event() {
            if let Some(new) = event.version.filter(|new| *new != version) {
                let (item, before) = (&task.item.id, version);
                tracing::info!(item, event = ?event.id, before, version = new, "weights changed during a run");
                version = new;
            }
            if let Err(error) = text.push(event, version) {
                return unusable_event(task, error);
            }
            let now = engine.clock.now();
            event_at = now;
            match text.first_at {
                Some(_) => engine.pace().record(now.since(text.newest_at).0 as f64),
                None => text.first_at = Some(now),
            }
            text.newest_at = now;
            stream.set_events(text.len());
            text.save_if_due(engine, task);
            if let Some(progress) = &task.progress {
                progress.record(text);
            }
        }
        if events.is_too_long() {
            tracing::warn!(
                item = task.item.id,
                "stream not usable: an event without an end"
            );
            return RunEnd::Refused;
        }
    }
}
