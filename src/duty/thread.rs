//! Starts duties, each as a thread with its own runtime.

use super::{
    Phase,
    SupervisorMessage,
    control::{ControlActor, ControlState}, //
};
use crate::base::Clock;
use ractor::{
    Actor,
    ActorRef, //
};
use snafu::{
    ResultExt,
    Snafu, //
};
use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    thread::JoinHandle, //
};
use tokio::{
    runtime::Builder,
    sync::watch,
    task::LocalSet, //
};

/// Why a duty could not be started.
#[derive(Debug, Snafu)]
pub enum DutyError {
    #[snafu(display("can't listen at {address}: {source}"))]
    #[snafu(visibility(pub(crate)))]
    Listen {
        address: std::net::SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("can't start the thread of duty `{name}`: {source}"))]
    Thread {
        name: &'static str,
        source: std::io::Error,
    },
}

/// Binds a listening socket; for port 0 the system chooses one.
pub fn bind_listener(
    address: std::net::SocketAddr,
) -> Result<(std::net::SocketAddr, std::net::TcpListener), DutyError> {
    let listener = std::net::TcpListener::bind(address).context(ListenSnafu { address })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    Ok((address, listener))
}

/// A running duty.
#[derive(Debug)]
pub struct Duty {
    pub name: &'static str,
    pub(super) thread: JoinHandle<()>,
}

/// What a duty's main function gets: a clock and its connection to the supervisor.
#[derive(Clone)]
pub struct Context {
    pub clock: Clock,
    name: &'static str,
    phase: watch::Receiver<Phase>,
    supervisor: ActorRef<SupervisorMessage>,
}

impl Context {
    /// Reports to the supervisor that this duty has finished its work and takes no new work.
    pub fn mark_drained(&self) {
        let _ = self.supervisor.cast(SupervisorMessage::Drained(self.name));
    }

    /// The current phase of the program.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the program has entered `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut watch = self.phase.clone();
        let _ = watch.wait_for(|now| *now >= phase).await;
    }
}

/// Starts a duty called `name` that runs `main` on a thread of its own.
pub fn spawn<F, Fut>(
    name: &'static str,
    supervisor: &ActorRef<SupervisorMessage>,
    main: F,
) -> Result<Duty, DutyError>
where
    F: FnOnce(Context) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let supervisor = supervisor.clone();
    // Sent before the thread starts, so that it arrives before any message of the duty.
    if supervisor.cast(SupervisorMessage::Starting).is_err() {
        tracing::warn!(
            duty = name,
            "can't report the duty's start: the supervisor has ended"
        );
    }
    let thread = std::thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || {
            let supervisor_at_end = supervisor.clone();
            let run = AssertUnwindSafe(|| run(name, supervisor, main));
            if catch_unwind(run).is_err() {
                tracing::error!(duty = name, "duty panicked");
            }
            let _ = supervisor_at_end.cast(SupervisorMessage::Ended(name));
        })
        .context(ThreadSnafu { name })?;
    Ok(Duty { name, thread })
}

/// Runs `main` on the current thread, in a new runtime beside the actor that receives the
/// duty's control messages.
fn run<F, Fut>(name: &'static str, supervisor: ActorRef<SupervisorMessage>, main: F)
where
    F: FnOnce(Context) -> Fut,
    Fut: Future<Output = ()> + 'static,
{
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            tracing::error!(duty = name, %error, "can't create the duty's runtime");
            return;
        }
    };
    let (sender, phase) = watch::channel(Phase::Running);
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let control = ControlState {
            name,
            phase: sender,
            supervisor: supervisor.clone(),
        };
        match Actor::spawn(None, ControlActor, control).await {
            Ok((control, _)) => {
                let _ = supervisor.cast(SupervisorMessage::Started(name, control));
            }
            Err(error) => tracing::error!(duty = name, %error, "can't start the control actor"),
        }
        let clock = Clock::open();
        main(Context {
            clock,
            name,
            phase,
            supervisor,
        })
        .await;
    });
}
