//! HTTP/1.1 connections to other processes, kept and watched by this program.

mod call_error;
mod idle_line;
mod peer;
mod reach;
mod stream_body;

pub use self::{
    call_error::CallError,
    peer::{Answer, Opened, Peer},
    reach::Reach,
    stream_body::StreamBody, //
};
