//! A backend server's announcement in the store.

use crate::routing::{
    Server,
    Weights, //
};
use serde::Deserialize;
use std::net::SocketAddr;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    address: SocketAddr,
    #[serde(default)]
    batch_slots: u32,
    #[serde(default)]
    models: Vec<WireModel>,
    service: String,
    /// `ready` or `draining`.
    state: String,
    /// The data centre.
    zone: String,
}

#[derive(Deserialize)]
pub(super) struct WireModel {
    pub(super) name: String,
    pub(super) version: u64,
}

/// Decodes the announcement of the server called `id`.
pub fn read_server(id: &str, value: &[u8]) -> Option<Server> {
    let wire: Wire = match serde_json::from_slice(value) {
        Ok(wire) => wire,
        Err(error) => {
            tracing::warn!(server = id, %error, "an announcement is not understood");
            return None;
        }
    };
    Some(Server {
        address: wire.address,
        data_centre: wire.zone,
        draining: wire.state == "draining",
        id: id.to_owned(),
        models: weights(wire.models),
        service: wire.service,
        slots: wire.batch_slots,
    })
}

pub(super) fn weights(models: Vec<WireModel>) -> Vec<Weights> {
    models
        .into_iter()
        .map(|model| Weights {
            model: model.name,
            version: model.version,
        })
        .collect()
}
