//! Counts what a process holds in memory for its clients, and cuts those that make no progress
//! while it is short.

use super::{
    Answer,
    Connection, //
};
use crate::{
    base::{Clock, Millis, stable_hash},
    net::AnswerBudget,
    policy::memory_budget::{
        HeldKind,
        HoldId,
        MemoryBudget,
        MemoryRefusal,
        MemoryRequest,
        SlowHold,
        answers_size,
        budget_size,
        max_reads,
        spread_wait, //
    },
};
use bytes::Bytes;
use http_body_util::{
    BodyExt,
    combinators::UnsyncBoxBody, //
};
use hyper::body::{
    Body,
    Frame,
    SizeHint, //
};
use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicU64, Ordering}, //
    },
    task::{Poll, ready}, //
};
use tokio::sync::Notify;
use tracing::field::display;

/// The memory that a process holds for its clients, and its limit.
pub struct Memory {
    answers: Arc<AnswerBudget>,
    clock: Clock,
    limit: usize,
    state: Mutex<State>,
}

struct State {
    budget: MemoryBudget,
    /// The clients whose progress is watched.
    clients: HashMap<HoldId, Client>,
}

/// The client that a hold waits for.
#[derive(Clone)]
enum Client {
    /// It reads an answer.
    Reader(Arc<Connection>),
    /// It sends a body.
    Sender(Arc<Upload>),
    /// It reads a streamed answer, which may pause.
    Stream(Arc<Connection>),
}

/// The progress of a body that is arriving.
pub(super) struct Upload {
    arrived: AtomicU64,
    client: Option<SocketAddr>,
    cut: Notify,
    /// The request's id.
    id: String,
}

/// Memory that is held until this is dropped.
pub struct Hold {
    bytes: usize,
    id: HoldId,
    memory: Arc<Memory>,
}

/// Whose answer it is, and what it is.
#[derive(Clone)]
pub struct Reader {
    pub connection: Option<Arc<Connection>>,
    pub kind: HeldKind,
    /// Empty for callers without one.
    pub workspace: String,
}

/// The buffers of a streamed answer, in bytes: what its server's connection holds for a caller
/// that doesn't read, in the kernel and in the process.
const STREAM_BYTES: usize = 192 * 1024;

/// How often stalled clients are looked for, while something is held and otherwise.
const CHECK_INTERVAL: Millis = Millis(250);
const IDLE_INTERVAL: Millis = Millis(1_000);

impl Memory {
    /// An unused budget for a process with this memory limit, in bytes.
    pub fn open(limit: usize, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            answers: AnswerBudget::open(answers_size(limit)),
            clock,
            limit,
            state: Mutex::new(State {
                budget: MemoryBudget::new(budget_size(limit)),
                clients: HashMap::new(),
            }),
        })
    }

    /// The memory for servers' answers, until their callers have read them.
    pub fn answers(&self) -> Arc<AnswerBudget> {
        self.answers.clone()
    }

    /// How many pages may be read from the store at a time.
    pub fn max_reads(&self) -> usize {
        max_reads(self.limit)
    }

    /// The memory limit of the process, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The bytes held.
    pub fn held(&self) -> usize {
        self.state().budget.held()
    }

    /// Holds the memory that is asked for, if it fits.
    pub fn reserve(self: &Arc<Self>, request: MemoryRequest<'_>) -> Result<Hold, MemoryRefusal> {
        let reserved = self.state().budget.reserve(request, self.clock.now());
        reserved.map(|id| self.as_hold(id, request.bytes))
    }

    /// Holds the memory for a body that is arriving, if it fits.
    pub(super) fn reserve_upload(
        self: &Arc<Self>,
        bytes: usize,
        id: &str,
        client: Option<SocketAddr>,
        workspace: &str,
    ) -> Result<(Hold, Arc<Upload>), MemoryRefusal> {
        let hold = self.reserve(MemoryRequest {
            bytes,
            kind: HeldKind::Upload,
            workspace,
        })?;
        let upload = Arc::new(Upload {
            arrived: AtomicU64::new(0),
            client,
            cut: Notify::new(),
            id: id.to_owned(),
        });
        let client = Client::Sender(upload.clone());
        self.state().clients.insert(hold.id, client);
        Ok((hold, upload))
    }

    /// Holds the buffers of a streamed answer, if they fit.
    pub fn reserve_stream(self: &Arc<Self>, reader: &Reader) -> Result<Hold, MemoryRefusal> {
        let hold = self.reserve(MemoryRequest {
            bytes: STREAM_BYTES,
            kind: HeldKind::Answer,
            workspace: &reader.workspace,
        })?;
        if let Some(connection) = &reader.connection {
            let client = Client::Stream(connection.clone());
            self.state().clients.insert(hold.id, client);
        }
        Ok(hold)
    }

    /// Whether anything may be added at present; if not, how long a caller has to wait.
    pub fn check_room(&self) -> Result<(), MemoryRefusal> {
        let now = self.clock.now();
        let mut state = self.state();
        match state.budget.has_room() {
            true => Ok(()),
            false => Err(state.budget.refuse_full(now)),
        }
    }

    /// Records that the request `id` is refused, as `what` does not fit. Returns the time after
    /// which its caller may return.
    pub fn refuse(&self, id: &str, what: HeldKind, refusal: MemoryRefusal) -> Millis {
        let (held, budget) = {
            let state = self.state();
            (state.budget.held(), state.budget.size())
        };
        let wait = spread_wait(refusal.wait, stable_hash(&[id.as_bytes()]));
        let (reason, wait_ms, what) = (refusal.reason, wait.0, what.name());
        tracing::warn!(
            id,
            held,
            budget,
            ?reason,
            wait = wait_ms,
            "{what} refused: memory budget"
        );
        metrics::counter!("redwing_bodies_refused_total", "kind" => what).increment(1);
        wait
    }

    /// Counts an answer as held until the last of it was taken from the process.
    pub fn hold_answer(self: &Arc<Self>, answer: Answer, reader: Reader) -> Answer {
        let whole = answer.body().size_hint().exact();
        answer.map(|body| {
            let whole = whole.filter(|bytes| *bytes > 0);
            let whole = whole.map(|bytes| self.hold(bytes as usize, &reader));
            let memory = self.clone();
            HeldBody {
                body,
                memory,
                reader,
                whole,
            }
            .boxed_unsync()
        })
    }

    /// Looks for stalled clients, and updates the metrics, until the program ends.
    pub async fn run(self: Arc<Self>) {
        loop {
            let wait = match self.held() {
                0 => IDLE_INTERVAL,
                _ => CHECK_INTERVAL,
            };
            tokio::time::sleep(wait.as_duration()).await;
            self.cut_slow();
            let waiting = self.answers.waiting() as f64;
            metrics::gauge!("redwing_answers_waiting_bytes").set(waiting);
            let state = self.state();
            for kind in HeldKind::ALL {
                let held = state.budget.held_for(kind) as f64;
                metrics::gauge!("redwing_memory_held_bytes", "kind" => kind.name()).set(held);
            }
        }
    }

    fn cut_slow(&self) {
        let now = self.clock.now();
        let mut state = self.state();
        let State { budget, clients } = &mut *state;
        for (id, client) in clients.iter() {
            match client {
                Client::Stream(connection) if !connection.is_blocked() => {
                    budget.record_pause(*id, now);
                }
                _ => budget.record_taken(*id, client.moved(), now),
            }
        }
        let mut cut = budget.cut_slow(now);
        let waiting = self.answers.waiting();
        if waiting > 0 {
            cut.extend(budget.cut_readers(waiting, now));
        }
        for slow in cut {
            if let Some(client) = clients.get(&slow.id) {
                client.cut(slow);
            }
        }
    }

    fn hold(self: &Arc<Self>, bytes: usize, reader: &Reader) -> Hold {
        let request = MemoryRequest {
            bytes,
            kind: reader.kind,
            workspace: &reader.workspace,
        };
        let connection = reader.connection.as_ref();
        let taken = connection.map_or(0, |connection| connection.written());
        let mut state = self.state();
        let id = state.budget.hold(request, taken, self.clock.now());
        if let Some(connection) = connection {
            let client = Client::Reader(connection.clone());
            state.clients.insert(id, client);
        }
        drop(state);
        self.as_hold(id, bytes)
    }

    fn as_hold(self: &Arc<Self>, id: HoldId, bytes: usize) -> Hold {
        let memory = self.clone();
        Hold { bytes, id, memory }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Client {
    /// The bytes that the client has moved.
    fn moved(&self) -> u64 {
        match self {
            Self::Reader(connection) | Self::Stream(connection) => connection.written(),
            Self::Sender(upload) => upload.arrived.load(Ordering::Relaxed),
        }
    }

    /// Ends what the client keeps in memory.
    fn cut(&self, slow: SlowHold) {
        let SlowHold { bytes, taken, .. } = slow;
        match self {
            Self::Reader(connection) | Self::Stream(connection) => {
                let client = connection.client().map(display);
                tracing::warn!(client, held = bytes, taken, "slow reader cut");
                metrics::counter!("redwing_readers_cut_total").increment(1);
                connection.cut();
            }
            Self::Sender(upload) => {
                let (id, client) = (&upload.id, upload.client.map(display));
                tracing::warn!(
                    id,
                    client,
                    held = bytes,
                    arrived = taken,
                    "stalled body cut"
                );
                metrics::counter!("redwing_bodies_cut_total").increment(1);
                upload.cut.notify_one();
            }
        }
    }
}

impl Upload {
    /// Counts bytes that have arrived.
    pub(super) fn add(&self, bytes: usize) {
        self.arrived.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Waits until the body is to be given up.
    pub(super) async fn cut(&self) {
        self.cut.notified().await;
    }
}

impl Hold {
    /// The body that is held has arrived whole.
    pub(super) fn set_arrived(&mut self) {
        let mut state = self.memory.state();
        state.budget.set_arrived(self.id);
        state.clients.remove(&self.id);
    }

    /// Raises the hold to `bytes`, if that fits.
    pub fn grow(&mut self, bytes: usize) -> Result<(), MemoryRefusal> {
        let now = self.memory.clock.now();
        self.memory.state().budget.grow(self.id, bytes, now)?;
        self.bytes = bytes;
        Ok(())
    }

    /// The same answer, which holds the memory until its body is dropped.
    pub fn keep(self, answer: Answer) -> Answer {
        answer.map(|body| KeptBody { body, _hold: self }.boxed_unsync())
    }

    /// The same content, which holds the memory until the last of its clones and slices is
    /// dropped.
    pub fn attach(self, content: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes {
            content,
            _hold: self,
        })
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now = self.memory.clock.now();
        let mut state = self.memory.state();
        state.budget.release(self.id, now);
        state.clients.remove(&self.id);
    }
}

struct HeldBytes {
    content: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

/// A response body that holds memory until it is dropped.
struct KeptBody {
    body: UnsyncBoxBody<Bytes, io::Error>,
    _hold: Hold,
}

impl Body for KeptBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A response body whose frames count as held until they were written.
struct HeldBody {
    body: UnsyncBoxBody<Bytes, io::Error>,
    memory: Arc<Memory>,
    reader: Reader,
    /// The hold of a body of known size, up to its first frame.
    whole: Option<Hold>,
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let held = frame.map(|frame| {
            frame.map(|frame| {
                frame.map_data(|content| {
                    let whole = self.whole.take();
                    let hold = whole.filter(|hold| hold.bytes == content.len());
                    let new = || self.memory.hold(content.len(), &self.reader);
                    hold.unwrap_or_else(new).attach(content)
                })
            })
        });
        Poll::Ready(held)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
