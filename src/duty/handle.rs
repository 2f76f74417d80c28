//! The handle of a running program.

use super::{
    Duty,
    DutyError,
    Health,
    Phase,
    Shutdown,
    Supervisor,
    SupervisorMessage, //
};
use crate::base::{
    Clock,
    Millis, //
};
use ractor::{
    Actor,
    ActorRef, //
};
use std::sync::Arc;
use tokio::{
    runtime::Builder,
    sync::watch, //
};

/// Owns the duties of a running program and their supervisor. Dropping it stops them at once.
pub struct ProgramHandle {
    duties: Vec<Duty>,
    health: watch::Receiver<Health>,
    shutdown: Arc<Shutdown>,
    supervisor: ActorRef<SupervisorMessage>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ProgramHandle {
    /// Starts a supervisor that forces a graceful stop after `drain_timeout`.
    pub fn open(drain_timeout: Millis) -> Result<Self, DutyError> {
        let shutdown = Shutdown::open(drain_timeout, Clock::open());
        let (health, watch) = watch::channel(Health::default());
        let (sender, receiver) = std::sync::mpsc::sync_channel(1);
        let thread = std::thread::Builder::new()
            .name("supervisor".to_owned())
            .spawn({
                let shutdown = shutdown.clone();
                move || supervise(shutdown, health, &sender)
            })
            .map_err(|source| DutyError::Thread {
                name: "supervisor",
                source,
            })?;
        let supervisor = receiver.recv().map_err(|_| DutyError::Thread {
            name: "supervisor",
            source: std::io::Error::other("it ended at its start"),
        })?;
        Ok(Self {
            duties: Vec::new(),
            health: watch,
            shutdown,
            supervisor,
            thread: Some(thread),
        })
    }

    /// Adds a running duty to the program.
    pub fn add(&mut self, duty: Duty) {
        self.duties.push(duty);
    }

    /// Begins a graceful stop.
    pub fn drain(&self) {
        let _ = self.supervisor.cast(SupervisorMessage::Drain);
    }

    /// Begins a graceful stop and returns once every duty has confirmed it. Requests that are
    /// sent to the program after that reach a draining program.
    pub async fn drain_confirmed(&self) {
        self.drain();
        let mut health = self.health.clone();
        let duties = self.duties.len();
        let confirmed = health.wait_for(|health| {
            let all = health.entered >= duties;
            health.phase == Phase::Stopped || (health.phase == Phase::Draining && all)
        });
        // The wait fails if the supervisor has ended; then all duties have been stopped.
        let _ = confirmed.await;
    }

    /// A receiver that follows the program's health.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.clone()
    }

    /// What the program does during a graceful stop.
    pub fn shutdown(&self) -> Arc<Shutdown> {
        self.shutdown.clone()
    }

    /// Stops the program at once.
    pub fn stop(&self) {
        let _ = self.supervisor.cast(SupervisorMessage::Stop);
    }

    /// The supervisor, which [`super::spawn`] needs to start a duty.
    pub fn supervisor(&self) -> &ActorRef<SupervisorMessage> {
        &self.supervisor
    }

    /// Waits until all duties have ended. Returns false if one of them failed.
    pub async fn wait(mut self) -> bool {
        let mut health = self.health.clone();
        let _ = health.wait_for(|h| h.phase == Phase::Stopped).await;
        let duties = std::mem::take(&mut self.duties);
        let joined = tokio::task::spawn_blocking(move || {
            let ends = duties.into_iter().map(|duty| duty.thread.join().is_ok());
            let ends: Vec<bool> = ends.collect();
            ends.into_iter().all(|ended| ended)
        });
        let failed = self.health.borrow().failed;
        joined.await.unwrap_or(false) && failed == 0
    }
}

impl Drop for ProgramHandle {
    fn drop(&mut self) {
        self.stop();
        for duty in std::mem::take(&mut self.duties) {
            let _ = duty.thread.join();
        }
        self.supervisor.stop(None);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the supervisor on the current thread; sends its address to `sender` once it is up.
fn supervise(
    shutdown: Arc<Shutdown>,
    health: watch::Sender<Health>,
    sender: &std::sync::mpsc::SyncSender<ActorRef<SupervisorMessage>>,
) {
    let Ok(runtime) = Builder::new_current_thread().enable_all().build() else {
        return;
    };
    runtime.block_on(async {
        let Ok((supervisor, ended)) = Actor::spawn(None, Supervisor { shutdown }, health).await
        else {
            return;
        };
        let _ = sender.send(supervisor);
        let _ = ended.await;
    });
}
