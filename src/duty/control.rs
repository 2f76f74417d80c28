//! The actor that receives the control messages of one duty.

use super::SupervisorMessage;
use ractor::{
    Actor,
    ActorProcessingErr,
    ActorRef, //
};
use tokio::sync::watch;

/// The phases of a program, up to its stop.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Phase {
    #[default]
    Running,
    /// A graceful stop: no new work is taken, work in progress continues.
    Draining,
    /// All work ends now.
    Stopped,
}

/// A message from the supervisor to a duty.
#[derive(Clone, Copy, Debug)]
pub enum ControlMessage {
    /// The program has entered this phase.
    Enter(Phase),
}

/// The state of a duty's control actor.
pub struct ControlState {
    pub(super) name: &'static str,
    pub(super) phase: watch::Sender<Phase>,
    pub(super) supervisor: ActorRef<SupervisorMessage>,
}

/// Receives a duty's control messages on the duty's own thread and confirms them to the
/// supervisor.
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
            tracing::warn!(
                duty = control.name,
                "can't confirm the phase: the supervisor has ended"
            );
        }
        Ok(())
    }
}
