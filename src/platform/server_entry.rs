//! Decodes the announcements that backend servers write to the store.

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

/// A server's announcement. Servers write all fields but those with a default: a row
/// that lacks one of them comes from another writer.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireServer {
    address: SocketAddr,
    batch_slots: u32,
    /// When the server started, in ms; absent on platforms that don't report it.
    #[serde(default)]
    born: u64,
    /// How much longer the server is slow after its start, in ms.
    #[serde(rename = "coldRemainingMs")]
    _cold: f64,
    /// The loaded models; absent for a service without models.
    #[serde(default)]
    models: Vec<WireModel>,
    /// Counts the server's announcements.
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

/// Decodes the announcement of the server with this id.
///
/// # Errors
///
/// [`AnnouncementError`] for a row that is incomplete or has a field of another type. Other
/// programs may write to the same table: such a row must not be taken for a server.
pub fn read_server(id: &str, value: &[u8]) -> Result<Server, AnnouncementError> {
    let wire: WireServer = serde_json::from_slice(value).context(DecodeSnafu)?;
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

/// Why a row is not a server's announcement.
#[derive(Debug, Snafu)]
pub enum AnnouncementError {
    #[snafu(display("invalid announcement: {source}"))]
    Decode { source: serde_json::Error },
    #[snafu(display("the server's address has port 0"))]
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
