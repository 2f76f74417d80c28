//! The control actor of one duty.

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

/// Takes a duty's control messages on the duty's own thread.
pub(super) struct Control;

impl Actor for Control {
    type Arguments = watch::Sender<Phase>;
    type Msg = ControlMessage;
    type State = watch::Sender<Phase>;

    async fn pre_start(
        &self,
        _myself: ActorRef<ControlMessage>,
        phase: watch::Sender<Phase>,
    ) -> Result<Self::State, ActorProcessingErr> {
        Ok(phase)
    }

    async fn handle(
        &self,
        _myself: ActorRef<ControlMessage>,
        message: ControlMessage,
        phase: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let ControlMessage::Enter(next) = message;
        phase.send_if_modified(|phase| {
            let forward = next > *phase;
            *phase = (*phase).max(next);
            forward
        });
        Ok(())
    }
}
