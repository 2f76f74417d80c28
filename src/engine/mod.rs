//! Client of a model engine.

mod client;
mod completion;
mod stream;

pub use self::{
    client::Engine,
    completion::{Choice, Chunk, Completion, Delta, Message},
    stream::{EngineEvent, TokenStream}, //
};
