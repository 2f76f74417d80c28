//! Client of a model engine: generations, orders and engine state.

mod client;
mod completion;
mod stream;

pub use self::{
    client::EngineClient,
    completion::{Choice, Chunk, Completion, Delta, Message},
    stream::{EngineEvent, TokenStream}, //
};
