//! Runs one item on the engine until its text is whole and scored.

use super::{
    score::{Score, Scorers},
    suspects::{Admitted, BrokenRun, Settled},
    text::Text, //
};
use crate::{
    base::{Asked, Clock, Fingerprint, Millis},
    batch::{Item, Partial, Sample, State},
    net::{CallError, Opened, Peer},
    platform::{EngineRequest, EventReader, Store, instance_of, not_executed, version_of_head},
    policy::{engine_life::Mismatch, pace::Pace, step_order::Rate},
    routing::Life,
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
    PoisonError,
    atomic::AtomicUsize, //
};
use tokio::sync::{
    RwLock,
    Semaphore,
    watch, //
};

/// How an item's run ended.
#[derive(Debug)]
pub(super) enum ItemEnd {
    /// The result.
    Done(Sample),
    /// The engine takes nothing any more, or the item's time is over.
    Dropped,
}

/// What the runs of all items on one engine share.
#[derive(Clone)]
pub(super) struct Engine {
    /// Held by the suspect whose turn it is to begin here.
    pub(super) apart: Arc<Semaphore>,
    /// Runs that broke off while the engine seemed to live.
    pub(super) broken: Arc<Mutex<Vec<BrokenRun>>>,
    pub(super) clock: Clock,
    pub(super) crashes: Arc<Crashes>,
    /// The life whose end a run saw last.
    pub(super) lost: watch::Sender<Option<Life>>,
    /// A life of the engine that refused what was meant for another.
    pub(super) met: watch::Sender<Option<Mismatch>>,
    /// What all runs tell of its pace.
    pub(super) pace: Arc<Mutex<Pace>>,
    pub(super) peer: Peer,
    /// Shared by the runs here, but for a suspect that begins, which has it alone.
    pub(super) places: Arc<RwLock<()>>,
    /// What its places take for an expected token.
    pub(super) rate: Arc<Mutex<Rate>>,
    /// The engine's present life while it takes work.
    pub(super) server: watch::Receiver<Option<Life>>,
    pub(super) scorers: Arc<Scorers>,
    pub(super) store: Store,
    /// Items that wait here in quarantine.
    pub(super) waiting: Arc<AtomicUsize>,
}

impl Engine {
    /// The engine's pace; held only for a moment.
    pub(super) fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What its places take for an expected token; held only for a moment.
    pub(super) fn rate(&self) -> MutexGuard<'_, Rate> {
        self.rate.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the engine has another life than `life`. A connection to an
    /// engine that lost power hangs: its runs began again only 2.5 s later, when
    /// their streams had paused too long.
    async fn next_life(&self, life: &Life) {
        let mut server = self.server.clone();
        let other = |now: &Option<Life>| now.as_ref().is_some_and(|now| now != life);
        if server.wait_for(other).await.is_err() {
            // The work loop has ended, and with it all runs.
            std::future::pending::<()>().await;
        }
    }

    /// Notes the engine's life when an answer says that the request was meant
    /// for another one than `expected`.
    pub(super) fn meet(&self, expected: &str, status: StatusCode, headers: &HeaderMap) {
        if status != StatusCode::MISDIRECTED_REQUEST {
            return;
        }
        let Some(found) = instance_of(headers).filter(|found| *found != expected) else {
            return;
        };
        let met = Mismatch {
            at: self.clock.now(),
            expected: expected.to_owned(),
            found: found.to_owned(),
        };
        self.met.send_if_modified(|known| {
            let same =
                |known: &Mismatch| (&known.expected, &known.found) == (&met.expected, &met.found);
            if known.as_ref().is_some_and(same) {
                return false;
            }
            tracing::info!(expected, found, "the engine has another life");
            *known = Some(met);
            true
        });
    }
}

/// One item to run.
pub(super) struct Task {
    pub(super) batch: String,
    /// What an earlier run has left.
    pub(super) begun: Option<Partial>,
    /// Names what the item asks of its engine.
    pub(super) fingerprint: Fingerprint,
    pub(super) host: String,
    pub(super) index: u16,
    pub(super) item: Item,
    /// The oldest weight version that may generate its tokens.
    pub(super) least_version: u64,
    /// The engine's own failures after which the item is given up.
    pub(super) most_failures: u32,
    /// Whether a runner had its bundle before; engines may have ended there.
    pub(super) reclaimed: bool,
    pub(super) single_version: bool,
    /// How urgent it is; 0 is the most urgent.
    pub(super) priority: Option<u32>,
    pub(super) until: Millis,
    /// The workspace whose batch it belongs to.
    pub(super) workspace: Option<String>,
}

/// How long the engine may take to begin: a request can wait behind others for
/// a slot, and behind a load of weights.
const HEAD_WITHIN: Millis = Millis(6_000);

/// How long a stream may pause. Events come every few tens of ms; an engine
/// that is four times as slow, full and preempting pauses longer.
const PAUSE_MOST: Millis = Millis(2_500);

/// The first wait before an engine that was full, loading or gone is asked
/// again, and the longest; a load of weights takes about 900 ms.
const AGAIN: Millis = Millis(60);
const AGAIN_MOST: Millis = Millis(240);

/// How long the rest of a refusal may take to arrive. Reading it keeps the
/// connection for the next request: without it each refusal cost a new one,
/// 6,200 on a day of 950 items.
const REFUSAL_WITHIN: Millis = Millis(100);

/// What came of one run.
pub(super) enum Run {
    /// The stream ended as a whole.
    Whole,
    /// The engine did not take it.
    Refused,
    /// The engine failed by its own word.
    Failed,
    /// The item can never be done.
    Impossible,
    /// The connection broke or fell silent.
    Broken(CallError),
    /// The engine has started anew, and the run is lost with its life before.
    Outlived,
}

/// Names what `item` of a batch of `host` asks of its engine.
pub(super) fn fingerprint(host: &str, item: &Item) -> Fingerprint {
    Fingerprint::of(Asked {
        body: &item.body,
        credential: &[],
        host,
        id: &item.id,
        method: Method::POST.as_str(),
        path: &item.path,
    })
}

/// Runs the item to its end.
pub(super) async fn run(engine: Engine, task: Task) -> ItemEnd {
    let now = engine.clock.now();
    let mut text = Text::resume(task.begun.clone(), now);
    let mut failures = 0;
    let mut wait = AGAIN;
    loop {
        // An item that ends each engine that runs it goes from runner to runner,
        // which count its engines' ends together.
        let Some(Admitted { attempt, place }) = engine.admit(&task).await else {
            return ItemEnd::Dropped;
        };
        let now = engine.clock.now();
        let server = engine.server.borrow().clone();
        let Some(server) = server.filter(|_| now < task.until) else {
            engine.let_go(attempt);
            return ItemEnd::Dropped;
        };
        if engine.lost.borrow().as_ref() == Some(&server) {
            engine.let_go(attempt);
            drop(place);
            // The work loop does not know yet. A run that begins now finds an
            // engine that is closing down, whose end would count against it.
            engine.noticed(&server).await;
            continue;
        }
        let begun = text.events.len();
        let running = async {
            tokio::select! {
                run = run_once(&engine, &task, &server, &mut text) => run,
                () = engine.next_life(&server) => Run::Outlived,
            }
        };
        let (run, place) = place.hold(running).await;
        let admitted = (attempt, place);
        if engine.settle(&server, &task, &run, admitted).await == Settled::GivenBack {
            return ItemEnd::Dropped;
        }
        match run {
            Run::Whole => {
                let (item, events, server) = (&task.item.id, text.events.len(), &server.id);
                let taken = engine.clock.now().since(now).0;
                let waited = text.first.map_or(taken, |first| first.since(now).0);
                if begun == 0 {
                    let run = (taken - waited) as f64;
                    engine.rate().note(task.item.expected, run);
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
            Run::Failed => {
                failures += 1;
                tracing::info!(item = task.item.id, failures, "the engine failed the item");
            }
            Run::Impossible => failures = task.most_failures,
            Run::Refused => {}
            Run::Outlived => {
                let events = text.events.len();
                let (request, server) = (task.fingerprint, &server.id);
                tracing::info!(item = task.item.id, %request, server, events, "its engine has started anew");
                wait = AGAIN;
            }
            Run::Broken(error) => {
                let events = text.events.len();
                let (request, server) = (task.fingerprint, &server.id);
                tracing::info!(item = task.item.id, %request, server, events, %error, "run broke off");
            }
        }
        if failures >= task.most_failures {
            tracing::warn!(item = task.item.id, failures, "item given up");
            let sample = terminated(&task.item.id);
            return ItemEnd::Done(sample);
        }
        if task.single_version && text.versions.len() > 1 {
            text = Text::default();
        }
        tokio::time::sleep(wait.as_duration()).await;
        wait = Millis((wait.0 * 2).min(AGAIN_MOST.0));
    }

    finish(&engine, task, text).await
}

/// Has a whole text scored; its result is complete then.
async fn finish(engine: &Engine, task: Task, text: Text) -> ItemEnd {
    let score = match &task.item.scorer {
        None => None,
        Some(scorer) => match engine.scorers.score(scorer, task.until).await {
            Score::Given(score) => Some(score),
            Score::GivenUp => {
                let sample = terminated(&task.item.id);
                return ItemEnd::Done(sample);
            }
            Score::TimedOut => return ItemEnd::Dropped,
        },
    };
    let sample = Sample {
        id: task.item.id,
        score,
        state: State::Succeeded,
        text: text.events.join("\n"),
        versions: text.versions.into_iter().collect(),
    };
    ItemEnd::Done(sample)
}

/// The result of an item that is given up.
pub(super) fn terminated(id: &str) -> Sample {
    Sample {
        id: id.to_owned(),
        score: None,
        state: State::Terminated,
        text: String::new(),
        versions: Vec::new(),
    }
}

async fn run_once(engine: &Engine, task: &Task, server: &Life, text: &mut Text) -> Run {
    let request = EngineRequest {
        after: text.last,
        host: &task.host,
        item: &task.item,
        left: task.until.since(engine.clock.now()),
        priority: task.priority,
        server: &server.id,
        workspace: task.workspace.as_deref(),
    };
    let opened = match engine.peer.open_stream(request.build(), HEAD_WITHIN).await {
        Ok(opened) => opened,
        Err(error) => return Run::Broken(error),
    };
    let status = opened.status.as_u16();
    if status == 200 {
        return read(engine, opened, task, text).await;
    }
    let refused = not_executed(&opened.headers);
    engine.meet(&server.id, opened.status, &opened.headers);
    read_away(opened).await;
    match status {
        422 => Run::Impossible,
        500 if !refused => Run::Failed,
        _ => {
            tracing::debug!(
                item = task.item.id,
                status,
                refused,
                "the engine did not take the item"
            );
            Run::Refused
        }
    }
}

/// Reads the rest of an answer that is not needed.
async fn read_away(mut opened: Opened) {
    while let Ok(Some(_)) = opened.body.next(REFUSAL_WITHIN).await {}
}

/// Reads events until the stream ends. Only whole events count: a stream that
/// breaks off goes on after the last of them.
async fn read(engine: &Engine, opened: Opened, task: &Task, text: &mut Text) -> Run {
    let Opened {
        mut body, headers, ..
    } = opened;
    let Some(mut version) = version_of_head(&headers) else {
        tracing::warn!(item = task.item.id, "an answer names no weight version");
        return Run::Refused;
    };
    if version < task.least_version {
        tracing::warn!(
            item = task.item.id,
            version,
            "the engine's weights are too old"
        );
        return Run::Refused;
    }

    text.first = None;
    let mut events = EventReader::default();
    loop {
        match body.next(PAUSE_MOST).await {
            Ok(Some(bytes)) => events.push(&bytes),
            Ok(None) if events.is_torn() => {
                tracing::info!(item = task.item.id, "the stream ended within an event");
                return Run::Refused;
            }
            Ok(None) => return Run::Whole,
            Err(error) => return Run::Broken(error),
        }
        while let Some(event) = events.next_event() {
            version = event.version.unwrap_or(version);
            let next = text.last.map_or(event.id, |last| Some(last + 1));
            if event.id.is_none() || event.id != next {
                tracing::warn!(item = task.item.id, ?event.id, ?next, "an event out of order");
                return Run::Refused;
            }
            let now = engine.clock.now();
            match text.first {
                Some(_) => engine.pace().note(now.since(text.newest).0 as f64),
                None => text.first = Some(now),
            }
            text.newest = now;
            text.last = event.id;
            text.versions.insert(version);
            text.events.push(event.data);
            text.keep(engine, task);
        }
    }
}
