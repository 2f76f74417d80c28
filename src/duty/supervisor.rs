//! The supervisor of a program's duties.

use super::{
    ControlMessage,
    Phase, //
};
use crate::base::Millis;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::watch;

/// Whether all duties of a program are alive, and how far its stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Health {
    /// Duties that know of `phase`. Until all do, some still take work as
    /// before: a stop is under way only once this is their number.
    pub entered: usize,
    /// Duties that ended without being told to.
    pub failed: u32,
    pub phase: Phase,
}

/// What the supervisor is told.
#[derive(Debug)]
pub enum SupervisorMessage {
    /// A duty is up.
    Started(&'static str, ActorRef<ControlMessage>),
    /// Begin a graceful stop.
    Drain,
    /// A duty knows how far the stop has come.
    Entered(&'static str, Phase),
    /// A duty has nothing under way any more and takes nothing new.
    Drained(&'static str),
    /// A duty's thread is about to start.
    Starting,
    /// A duty's thread ended.
    Ended(&'static str),
    /// End now, cutting what is under way.
    Stop,
}

/// Starts graceful stops, waits for every duty, and forces the end at a bound.
pub struct Supervisor {
    /// After this long a graceful stop is forced.
    pub drain_timeout: Millis,
}

/// The duties and what is known of them.
pub struct State {
    drained: Vec<&'static str>,
    /// Duties that know of the present phase.
    entered: Vec<&'static str>,
    duties: Vec<(&'static str, ActorRef<ControlMessage>)>,
    /// Duties that were started and have not ended.
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
                    state.enter(Phase::Draining);
                    myself.send_after(self.drain_timeout.as_duration(), || SupervisorMessage::Stop);
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
                // A duty that is still starting must find its supervisor: it
                // hears of a stop only from it, and would never end without.
                if state.running == 0 {
                    myself.stop(None);
                }
            }
            SupervisorMessage::Entered(name, phase) => state.duty_entered(name, phase),
            SupervisorMessage::Stop => {
                if state.health.borrow().phase == Phase::Draining {
                    tracing::error!(
                        bound = self.drain_timeout.0,
                        "graceful stop forced at its bound"
                    );
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
        // A duty that died would leave its callers waiting for good; it shows
        // as a failed /healthz, and the platform replaces the instance.
        tracing::error!(duty = name, "a duty ended without being told to");
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

    /// Ends a graceful stop once no duty has anything under way.
    fn stop_if_drained(&mut self) {
        let draining = self.health.borrow().phase == Phase::Draining;
        if draining && self.drained.len() == self.running {
            self.enter(Phase::Stopped);
        }
    }

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
                tracing::warn!(duty = name, "a duty takes no control messages");
            }
        }
    }
}
