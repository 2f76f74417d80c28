//! Decodes the announcements that backend servers write to the store.

use super::excerpt::excerpt;
use crate::{
    base::Millis,
    routing::{LoadedModel, Server, ServerIncarnation}, //
};
use hyper::header::HeaderValue;
use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};
use std::net::SocketAddr;

/// The largest version, of weights or of a configuration: the largest integer that all writers of
/// JSON represent exactly. What is calculated with versions stays within 64 bits.
pub(super) const MAX_VERSION: u64 = (1 << 53) - 1;

/// The most requests that a server runs at once; servers run some tens. The slots of all engines
/// of the largest site together stay within 32 bits.
const MAX_SLOTS: u32 = 10_000;

/// No server has started later than this: the year 2100. A runner takes its engine's reports from
/// before the announced start for those of an earlier incarnation.
const MAX_START_MS: u64 = 4_102_444_800_000;

/// The longest name in an announcement, in bytes. Names are logged, and label metrics.
const MAX_NAME_BYTES: usize = 1_024;

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
/// [`AnnouncementError`] for a row that is incomplete, has a field of another type, or a value
/// that no server has. Other programs may write to the same table: such a row must not be taken
/// for a server.
pub fn read_server(id: &str, value: &[u8]) -> Result<Server, AnnouncementError> {
    let wire: WireServer = serde_json::from_slice(value).context(DecodeSnafu)?;
    // Requests carry the id, so that no other server at the address runs them.
    let is_header = !id.is_empty() && HeaderValue::from_str(id).is_ok();
    ensure!(is_header, IdSnafu);
    ensure!(wire.address.port() > 0, PortSnafu);
    let (slots, start) = (wire.batch_slots, wire.born);
    ensure!(slots <= MAX_SLOTS, SlotsSnafu { slots });
    ensure!(start <= MAX_START_MS, StartSnafu { start });
    for (field, name) in [("service", &wire.service), ("zone", &wire.zone)] {
        ensure!(name.len() <= MAX_NAME_BYTES, NameSnafu { field });
    }
    for WireModel { name, version } in &wire.models {
        let field = "models";
        ensure!(name.len() <= MAX_NAME_BYTES, NameSnafu { field });
        let version = *version;
        ensure!(version <= MAX_VERSION, VersionSnafu { version });
    }
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
    #[snafu(display("invalid announcement: {}", excerpt(source)))]
    Decode { source: serde_json::Error },
    #[snafu(display("the server's id is no valid header value"))]
    Id,
    #[snafu(display("a name in `{field}` is longer than {MAX_NAME_BYTES} bytes"))]
    Name { field: &'static str },
    #[snafu(display("the server's address has port 0"))]
    Port,
    #[snafu(display("{slots} slots are more than a server has: at most {MAX_SLOTS}"))]
    Slots { slots: u32 },
    #[snafu(display("the start at {start} ms is later than that of any server"))]
    Start { start: u64 },
    #[snafu(display("weight version {version} is larger than {MAX_VERSION}"))]
    Version { version: u64 },
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
