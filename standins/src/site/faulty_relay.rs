//! A relay before a server, which answers chosen requests with bytes of its own.

use super::raw_request::{
    RawRequest,
    accept_connections, //
};
use redwingpond::base::Millis;
use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError,
        atomic::{AtomicUsize, Ordering}, //
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle, //
};

/// What the connection does after the bytes of an answer.
#[derive(Clone, Copy, Debug)]
pub enum RawEnd {
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
    /// More bytes follow until the client closes it: those of this function for 0, 1, 2, ...
    Endless(fn(u64) -> Vec<u8>),
}

/// Bytes to send in place of an answer.
#[derive(Clone, Debug)]
pub struct RawAnswer {
    /// Sent first; `{id}` stands for the id of the request.
    pub bytes: Vec<u8>,
    pub end: RawEnd,
    /// The pause before each further piece of an endless answer.
    pub pause: Millis,
}

/// The bytes of an endless answer that the operating system holds for a client. The default of
/// several MB costs processor time that a server on another machine would spend.
const SEND_BUFFER: usize = 256 * 1024;

/// The requests to answer with other bytes.
struct Plan {
    /// The answers to the next of them.
    answers: VecDeque<RawAnswer>,
    /// The prefix of their paths.
    path: String,
}

/// A running relay; dropping it stops it.
pub struct FaultyRelay {
    pub address: SocketAddr,
    inner: Arc<Inner>,
    task: JoinHandle<()>,
}

struct Inner {
    /// The ids of the requests that were answered with other bytes.
    answered: Mutex<Vec<String>>,
    /// The most bytes that one connection took of the answers planned last.
    most_sent: AtomicUsize,
    /// The connections on which such an answer is being sent.
    open: AtomicUsize,
    plan: Mutex<Option<Plan>>,
    target: SocketAddr,
}

impl FaultyRelay {
    /// Starts a relay to the server at `target`.
    pub async fn open(target: SocketAddr) -> io::Result<Self> {
        let inner = Arc::new(Inner {
            answered: Mutex::default(),
            most_sent: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            plan: Mutex::default(),
            target,
        });
        let served = inner.clone();
        let serve = move |client| {
            let served = served.clone();
            async move { served.serve(client).await }
        };
        let (address, task) = accept_connections(serve).await?;
        Ok(Self {
            address,
            inner,
            task,
        })
    }

    /// Answers the next requests whose paths begin with `path` with `answers`.
    pub fn set_answers(&self, path: &str, answers: impl IntoIterator<Item = RawAnswer>) {
        self.inner.most_sent.store(0, Ordering::Relaxed);
        *self.inner.plan() = Some(Plan {
            answers: answers.into_iter().collect(),
            path: path.to_owned(),
        });
    }

    /// The number of answers that are still to be given.
    pub fn planned(&self) -> usize {
        self.inner
            .plan()
            .as_ref()
            .map_or(0, |plan| plan.answers.len())
    }

    /// The number of requests that were answered with other bytes.
    pub fn answered(&self) -> usize {
        self.inner.answered().len()
    }

    /// How many times the request with this id was answered with other bytes.
    pub fn answers_to(&self, id: &str) -> usize {
        let answered = self.inner.answered();
        answered.iter().filter(|answered| *answered == id).count()
    }

    /// The most bytes that one connection took of the answers planned last.
    pub fn most_sent(&self) -> usize {
        self.inner.most_sent.load(Ordering::Relaxed)
    }

    /// The number of connections on which such an answer is being sent.
    pub fn open_answers(&self) -> usize {
        self.inner.open.load(Ordering::Relaxed)
    }
}

impl Drop for FaultyRelay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Inner {
    fn plan(&self) -> MutexGuard<'_, Option<Plan>> {
        self.plan.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answered(&self) -> MutexGuard<'_, Vec<String>> {
        self.answered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the planned answer to `request`.
    fn take_answer(&self, request: &RawRequest) -> Option<RawAnswer> {
        let mut plan = self.plan();
        let plan = plan.as_mut()?;
        if !request.path().starts_with(&plan.path) {
            return None;
        }
        let answer = plan.answers.pop_front()?;
        let id = request.header("x-attempt-id").unwrap_or_default();
        self.answered().push(id.to_owned());
        Some(answer)
    }

    /// Serves the only request of a connection.
    async fn serve(&self, mut client: TcpStream) -> io::Result<()> {
        client.set_nodelay(true)?;
        let Some(request) = RawRequest::read(&mut client).await? else {
            return Ok(());
        };
        let Some(answer) = self.take_answer(&request) else {
            return self.relay(client, request).await;
        };
        self.open.fetch_add(1, Ordering::Relaxed);
        let sent = self.send(&mut client, &answer, &request).await;
        self.open.fetch_sub(1, Ordering::Relaxed);
        if matches!(answer.end, RawEnd::Reset) {
            socket2::SockRef::from(&client).set_linger(Some(std::time::Duration::ZERO))?;
        }
        sent
    }

    /// Sends an answer until its end, or until the client closes the connection.
    async fn send(
        &self,
        client: &mut TcpStream,
        answer: &RawAnswer,
        request: &RawRequest,
    ) -> io::Result<()> {
        let id = request.header("x-attempt-id").unwrap_or_default();
        let text = String::from_utf8_lossy(&answer.bytes);
        client
            .write_all(text.replace("{id}", id).as_bytes())
            .await?;
        let RawEnd::Endless(more) = answer.end else {
            return Ok(());
        };
        socket2::SockRef::from(&*client).set_send_buffer_size(SEND_BUFFER)?;
        let (mut from_client, mut to_client) = client.split();
        let mut sent = 0;
        let sending = async {
            for number in 0.. {
                // A timer of 0 ms fires after a millisecond.
                if answer.pause > Millis(0) {
                    tokio::time::sleep(answer.pause.as_duration()).await;
                }
                let piece = more(number);
                to_client.write_all(&piece).await?;
                sent += piece.len();
                self.most_sent.fetch_max(sent, Ordering::Relaxed);
            }
            Ok(())
        };
        let mut rest = [0; 1];
        tokio::select! {
            sent = sending => sent,
            closed = from_client.read(&mut rest) => closed.map(|_| ()),
        }
    }

    /// Has the server answer a request, and closes the connection after that.
    async fn relay(&self, mut client: TcpStream, request: RawRequest) -> io::Result<()> {
        let mut server = TcpStream::connect(self.target).await?;
        let (first, rest) = request.head.split_once("\r\n").unwrap_or_default();
        let head = format!("{first}\r\nconnection: close\r\n{rest}");
        server.write_all(head.as_bytes()).await?;
        server.write_all(&request.body).await?;
        tokio::io::copy(&mut server, &mut client).await?;
        Ok(())
    }
}
