//! Decides what a stopping program still takes, passes on and answers.

use crate::base::{
    Clock,
    Millis, //
};
use std::sync::Arc;
use tokio::sync::watch;

/// The planned stop of a program, from the signal to the end of its work.
///
/// Everything that begins work for a client asks [`Shutdown::admits`] at the moment when the
/// work begins, also for a retry of work that began before.
#[derive(Debug)]
pub struct Shutdown {
    /// When the stop began; `None` while the program runs.
    begun: watch::Sender<Option<Millis>>,
    clock: Clock,
    /// The time after which the stop is forced.
    timeout: Millis,
}

/// How long a stopping program accepts connections: a balancer checks every second, and sends
/// nothing more after two failed checks.
pub const ACCEPT_TIME: Millis = Millis(3_000);

/// The `Retry-After` of what a stopping program refuses: the next attempt goes to another instance.
pub const RETRY_AFTER_STOPPING: Millis = Millis(20);

/// How long a stopping program begins work that it may have to cut. Shorter than
/// [`ACCEPT_TIME`], as the signal was sent before the program saw it.
const OPEN_ENDED_TIME: Millis = Millis(2_800);

/// How long before the forced stop the last answers are given, so that they are written by then.
const ANSWER_MARGIN: Millis = Millis(250);

impl Shutdown {
    /// The stop of a running program, which is forced `timeout` after it began.
    pub fn open(timeout: Millis, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            begun: watch::Sender::new(None),
            clock,
            timeout,
        })
    }

    /// The clock of all its times.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// The time after which the stop is forced.
    pub(super) fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Begins the stop, unless it has begun.
    pub fn begin(&self) {
        let now = self.clock.now();
        self.begun.send_if_modified(|begun| {
            let first = begun.is_none();
            begun.get_or_insert(now);
            first
        });
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.begun().is_some()
    }

    /// Whether the program begins no more work whose end is unknown.
    pub fn is_closing(&self) -> bool {
        let begun = self.begun();
        begun.is_some_and(|begun| self.clock.now() >= self.closing_time(begun))
    }

    /// Whether work that ends by `deadline` at the latest may begin now: it ends before the
    /// program does, or the program was stopped so recently that its clients can't know.
    pub fn admits(&self, deadline: Millis) -> bool {
        !self.is_closing() || deadline <= self.last_answer()
    }

    /// The earlier of `deadline` and the time of the last answers.
    pub fn clip(&self, deadline: Millis) -> Millis {
        deadline.min(self.last_answer())
    }

    /// Waits until work that ends by `deadline` may not begin any more.
    pub async fn refuses(&self, deadline: Millis) {
        let begun = self.wait_begun().await;
        self.sleep_until(self.closing_time(begun)).await;
        if self.admits(deadline) {
            std::future::pending::<()>().await;
        }
    }

    /// Waits for the time of the last answers.
    pub async fn answers_due(&self) {
        self.wait_begun().await;
        self.sleep_until(self.last_answer()).await;
    }

    fn begun(&self) -> Option<Millis> {
        *self.begun.borrow()
    }

    /// When a stop that began at `begun` begins no more work whose end is unknown.
    fn closing_time(&self, begun: Millis) -> Millis {
        self.last_answer().min(begun + OPEN_ENDED_TIME)
    }

    /// When the last answers are given; in the far future while the program runs.
    fn last_answer(&self) -> Millis {
        let begun = self.begun();
        begun.map_or(Millis(u64::MAX), |begun| {
            begun + self.timeout - ANSWER_MARGIN
        })
    }

    async fn wait_begun(&self) -> Millis {
        let mut begun = self.begun.subscribe();
        let found = begun.wait_for(Option::is_some).await;
        match found.ok().and_then(|begun| *begun) {
            Some(begun) => begun,
            None => std::future::pending().await,
        }
    }

    async fn sleep_until(&self, time: Millis) {
        let left = time.since(self.clock.now());
        tokio::time::sleep(left.as_duration()).await;
    }
}
