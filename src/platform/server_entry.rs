//! A backend server's announcement in the store.

use crate::{
    base::Millis,
    routing::{LoadedModel, Server, ServerIncarnation}, //
};
use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};
use std::net::SocketAddr;

/// An announcement as it lies in the store. All fields but those with a default
/// are always there: an entry that lacks one comes from another writer.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Wire {
    address: SocketAddr,
    batch_slots: u32,
    /// When the server started; absent where servers don't tell.
    #[serde(default)]
    born: u64,
    /// How much longer the server stays slow after its start, in ms.
    #[serde(rename = "coldRemainingMs")]
    _cold: f64,
    /// Absent for a service that holds no model.
    #[serde(default)]
    models: Vec<WireModel>,
    /// Counts the announcements.
    #[serde(rename = "sequence")]
    _sequence: u64,
    service: String,
    state: WireState,
    /// The release of the server's software.
    #[serde(rename = "version")]
    _release: String,
    /// The data centre.
    zone: String,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "camelCase")]
enum WireState {
    Draining,
    Ready,
}

#[derive(Deserialize)]
pub(super) struct WireModel {
    pub(super) name: String,
    pub(super) version: u64,
}

/// Decodes the announcement of the server called `id`. An entry that is not
/// whole names no server: other writers may write there too.
///
/// # Errors
///
/// What of the entry was not understood.
pub fn read_server(id: &str, value: &[u8]) -> Result<Server, EntryError> {
    let wire: Wire = serde_json::from_slice(value).context(DecodeSnafu)?;
    ensure!(wire.address.port() > 0, PortSnafu);
    Ok(Server {
        address: wire.address,
        data_centre: wire.zone,
        draining: wire.state == WireState::Draining,
        incarnation: ServerIncarnation::new(id, Millis(wire.born)),
        models: weights(wire.models),
        service: wire.service,
        slots: wire.batch_slots,
    })
}

/// Why an entry names no server.
#[derive(Debug, Snafu)]
pub enum EntryError {
    #[snafu(display("not an announcement: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("its address has no port"))]
    Port,
}

pub(super) fn weights(models: Vec<WireModel>) -> Vec<LoadedModel> {
    models
        .into_iter()
        .map(|model| LoadedModel {
            model: model.name,
            version: model.version,
        })
        .collect()
}
