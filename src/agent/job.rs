//! A request that waits or runs in an agent.

use super::{
    job_io::JobIo,
    link_listener::LinkKey, //
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
    /// Identifies a job in the agent's arena.
    pub struct JobKey;
}

/// A part of a request's body, to be sent to the backend server.
pub(super) type BodyPart = Result<Bytes, std::io::Error>;

/// A request that waits or runs.
pub(super) struct Job {
    /// Passes body parts from the entry to the job's task; `None` if the body is complete.
    pub(super) body_sender: Option<mpsc::Sender<BodyPart>>,
    pub(super) deadline: Millis,
    /// Sends the answer to the entry.
    pub(super) io: JobIo,
    /// The link on which the request came.
    pub(super) link: LinkKey,
    /// The receiving end of `body_sender` until the job starts.
    pub(super) body_receiver: Option<mpsc::Receiver<BodyPart>>,
    /// The request as the entry sent it.
    pub(super) start: Box<Start>,
    /// When the job was handed to the backend server; `None` while it waits.
    pub(super) started_at: Option<Millis>,
    /// The task that runs the job, once it has started.
    pub(super) task: Option<JoinHandle<()>>,
    /// A hash of the team's name.
    pub(super) team: u64,
}

/// The end of a started job, sent by the job's task to the work duty.
pub(super) struct JobEnd {
    pub(super) key: JobKey,
    /// The versions of the generated tokens (empty for a call), or why the job failed.
    pub(super) outcome: Result<Vec<Span>, crate::base::Failure>,
}
