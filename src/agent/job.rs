//! One request in an agent.

use super::{
    job_io::JobIo, //
    link_listener::LinkKey,
};
use crate::{
    base::{Millis, Span},
    wire::Start, //
};
use bytes::Bytes;
use tokio::{
    sync::mpsc,
    task::JoinHandle, //
};

slotmap::new_key_type! {
    /// A job's place in the agent's arena.
    pub struct JobKey;
}

/// A part of a request's body on its way to the backend server.
pub(super) type BodyPart = Result<Bytes, std::io::Error>;

/// A request that waits or runs.
pub(super) struct Job {
    /// Where body parts go; `None` once the body is whole.
    pub(super) body_sender: Option<mpsc::Sender<BodyPart>>,
    pub(super) deadline: Millis,
    pub(super) io: JobIo,
    pub(super) link: LinkKey,
    /// The receiving end of `body_sender` until the job starts.
    pub(super) body_receiver: Option<mpsc::Receiver<BodyPart>>,
    pub(super) start: Box<Start>,
    pub(super) started_at: Option<Millis>,
    pub(super) task: Option<JoinHandle<()>>,
    /// A hash of the team's name.
    pub(super) team: u64,
}

/// What a job's task tells when it ends.
pub(super) struct JobEnd {
    pub(super) key: JobKey,
    pub(super) outcome: Result<Vec<Span>, crate::base::Failure>,
}
