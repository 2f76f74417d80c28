//! HTTP/1.1 client with a keep-alive pool per peer, and tracking of unreachable peers.

mod answer_budget;
mod body_budget;
mod call_error;
mod connection;
mod idle_connection;
mod invalid_answer;
mod matching;
mod peer;
mod pool;
mod reachability;
mod stream_body;

pub(crate) use self::invalid_answer::{ContradictorySnafu, EncodedSnafu, UnsignedSnafu};

pub use self::{
    answer_budget::AnswerBudget,
    call_error::CallError,
    invalid_answer::{AnswerCheck, InvalidAnswer, check_status},
    matching::{Matching, Mismatch},
    peer::{Exchange, FullResponse, MaySend, Peer, StreamingResponse},
    reachability::Reachability,
    stream_body::StreamBody, //
};
