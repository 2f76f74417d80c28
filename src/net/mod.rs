//! HTTP/1.1 connections to other processes, kept and watched by this program.

mod call_error;
mod idle_connection;
mod peer;
mod reachability;
mod stream_body;

pub use self::{
    call_error::CallError,
    peer::{FullResponse, Peer, StreamingResponse},
    reachability::Reachability,
    stream_body::StreamBody, //
};
