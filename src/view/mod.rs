//! What a program knows of its site: configuration, servers, named versions.

mod keeper;
mod site;

pub use self::{
    keeper::keep,
    site::Site, //
};
