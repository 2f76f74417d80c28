//! The actor that supervises the duties of a program.

use super::{
    ControlMessage,
    Phase,
    Shutdown, //
};
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use std::sync::Arc;
use tokio::sync::watch;

/// The phase of a program and whether any of its duties failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// The number of duties that have confirmed `phase`. Until it is the number of all duties,
    /// some may still take work as before.
    pub entered: usize,
    /// The number of duties that ended without being stopped.
    pub failed: u32,
    pub phase: Phase,
}

/// A message to the supervisor.
#[derive(Debug)]
pub enum SupervisorMessage {
    /// The duty has started; its control actor receives messages at this address.
    Started(&'static str, ActorRef<ControlMessage>),
    /// Begin a graceful stop.
    Drain,
    /// The duty confirms that it has entered the phase.
    Entered(&'static str, Phase),
    /// The duty has finished its work and takes no new work.
    Drained(&'static str),
    /// A duty's thread is about to start. Counted before the thread exists, so that the
    /// supervisor doesn't end while the duty starts.
    Starting,
    /// The duty's thread has ended.
    Ended(&'static str),
    /// Stop now and cut the work in progress.
    Stop,
}

/// Begins graceful stops, waits for every duty to drain, and forces the stop after a timeout.
pub struct Supervisor {
    /// What the program does during a graceful stop, and when that is forced.
    pub shutdown: Arc<Shutdown>,
}

/// The state of the supervisor: the duties and what they have reported.
pub struct State {
    drained: Vec<&'static str>,
    /// Duties that have confirmed the current phase.
    entered: Vec<&'static str>,
    /// The control actors of the started duties.
    duties: Vec<(&'static str, ActorRef<ControlMessage>)>,
    /// The number of duties whose threads were started and have not ended.
    running: usize,
    health: watch::Sender<Health>,
}

impl Actor for Supervisor {
    type Arguments = watch::Sender<Health>;
    type Msg = SupervisorMessage;
    type State = State;

    async fn pre_start(
        &self,
        _myself: ActorRef<SupervisorMessage>,
        health: watch::Sender<Health>,
    ) -> Result<State, ActorProcessingErr> {
        Ok(State {
            drained: Vec::new(),
            entered: Vec::new(),
            duties: Vec::new(),
            running: 0,
            health,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<SupervisorMessage>,
        message: SupervisorMessage,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            SupervisorMessage::Started(name, duty) => {
                state.duties.push((name, duty));
                let phase = state.health.borrow().phase;
                state.enter(phase);
            }
            SupervisorMessage::Drain => {
                if state.health.borrow().phase == Phase::Running {
                    self.shutdown.begin();
                    state.enter(Phase::Draining);
                    let timeout = self.shutdown.timeout().as_duration();
                    myself.send_after(timeout, || SupervisorMessage::Stop);
                    state.stop_if_drained();
                }
            }
            SupervisorMessage::Drained(name) => {
                if !state.drained.contains(&name) {
                    state.drained.push(name);
                }
                state.stop_if_drained();
            }
            SupervisorMessage::Starting => state.running += 1,
            SupervisorMessage::Ended(name) => {
                state.running = state.running.saturating_sub(1);
                state.duty_ended(name);
                // The supervisor must outlive every duty that is still starting: a duty
                // learns of a stop only from it and would never end without it.
                if state.running == 0 {
                    myself.stop(None);
                }
            }
            SupervisorMessage::Entered(name, phase) => state.duty_entered(name, phase),
            SupervisorMessage::Stop => {
                if state.health.borrow().phase == Phase::Draining {
                    tracing::error!(bound = self.shutdown.timeout().0, "graceful stop forced");
                }
                state.enter(Phase::Stopped);
            }
        }
        Ok(())
    }
}

impl State {
    fn duty_ended(&mut self, name: &'static str) {
        self.duties.retain(|(kept, _)| *kept != name);
        self.drained.retain(|kept| *kept != name);
        if self.health.borrow().phase == Phase::Stopped {
            return;
        }
        // Requests that need the duty would wait forever. So the program stops, /healthz fails,
        // and the platform replaces the instance.
        tracing::error!(duty = name, "duty ended unexpectedly; stopping the program");
        self.health.send_modify(|health| health.failed += 1);
        self.enter(Phase::Stopped);
    }

    fn duty_entered(&mut self, name: &'static str, phase: Phase) {
        let current = self.health.borrow().phase;
        if phase == current && !self.entered.contains(&name) {
            self.entered.push(name);
            let entered = self.entered.len();
            self.health.send_modify(|health| health.entered = entered);
        }
    }

    /// Ends a graceful stop once all duties have drained.
    fn stop_if_drained(&mut self) {
        let draining = self.health.borrow().phase == Phase::Draining;
        if draining && self.drained.len() == self.running {
            self.enter(Phase::Stopped);
        }
    }

    /// Moves the program to `phase`, if that is a later one, and sends it to all duties.
    fn enter(&mut self, phase: Phase) {
        if phase > self.health.borrow().phase {
            self.entered.clear();
        }
        let entered = self.entered.len();
        self.health.send_modify(|health| {
            health.entered = entered;
            health.phase = health.phase.max(phase);
        });
        for (name, duty) in &self.duties {
            if duty.cast(ControlMessage::Enter(phase)).is_err() {
                tracing::warn!(
                    duty = name,
                    "can't send the phase to the duty: its control actor has ended"
                );
            }
        }
    }
}
