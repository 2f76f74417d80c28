//! The control actor of one duty.

use super::SupervisorMessage;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::watch;

/// How far a program's stop has come.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    #[default]
    Running,
    /// No new work; what is under way goes on.
    Draining,
    /// Everything ends now.
    Stopped,
}

/// What a duty is told.
#[derive(Clone, Copy, Debug)]
pub enum ControlMessage {
    Enter(Phase),
}

/// What the control actor of one duty has.
pub struct ControlState {
    pub(super) name: &'static str,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) supervisor: ActorRef<SupervisorMessage>,
}

/// Takes a duty's control messages on the duty's own thread.
pub(super) struct ControlActor;

impl Actor for ControlActor {
    type Arguments = ControlState;
    type Msg = ControlMessage;
    type State = ControlState;

    async fn pre_start(
        &self,
        _myself: ActorRef<ControlMessage>,
        control: ControlState,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(control)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ControlMessage>,
        message: ControlMessage,
        control: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let ControlMessage::Enter(next) = message;
        control.phase.send_if_modified(|phase| {
            let forward = next > *phase;
            *phase = (*phase).max(next);
            forward
        });
        let entered = SupervisorMessage::Entered(control.name, next);
        if control.supervisor.cast(entered).is_err() {
            tracing::warn!(duty = control.name, "the supervisor is gone");
        }
        Ok(())
    }
}
