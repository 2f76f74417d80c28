//! Keys and values of the usage rows in the store.

use crate::{
    base::{Millis, stable_hash},
    policy::usage::Counts,
    store::Key, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The table of all usage rows.
pub(super) const USAGE: &str = "usage";

/// The part of the gateways' clock readings.
pub(super) const CLOCKS: &str = "clocks";

/// The part of the reports of finalised windows.
pub(super) const REPORTS: &str = "reports";

/// The part of the reporting lease.
const LEASE: &str = "lease";

/// The number of parts over which the gateways' counts are spread: one part accepts 200
/// transactions a second, and hundreds of gateways write each second.
const COUNT_PARTS: u64 = 16;

/// A gateway's clock reading.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct ClockRow {
    /// When the row was written, by the store's clock.
    pub(super) at: Millis,
    /// The gateway's Unix time minus the store's clock, in ms.
    pub(super) offset: i64,
}

/// The final report of a window. Its counts never change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Report {
    pub(super) counts: Counts,
    /// Whether the platform has accepted the report.
    pub(super) sent: bool,
}

/// One incarnation of a gateway, from a start of its process to its end.
#[derive(Clone, Debug)]
pub(super) struct GatewayIncarnation {
    pub(super) instance: String,
    /// When the process started, in Unix ms.
    pub(super) started: Millis,
}

impl GatewayIncarnation {
    /// The key of this incarnation's counts for `window`.
    pub(super) fn count_key(&self, window: u64) -> Key {
        let number = stable_hash(&[self.instance.as_bytes()]) % COUNT_PARTS;
        let (instance, started) = (&self.instance, self.started.0);
        let key = format!("{}{instance}/{started}", window_prefix(window));
        Key::new(USAGE, count_part(number), key)
    }

    /// The key of the gateway's row in [`CLOCKS`].
    pub(super) fn clock_key(&self) -> Key {
        Key::new(USAGE, CLOCKS, self.instance.as_str())
    }
}

/// The instance name of the gateway that wrote the counts under `key`.
pub(super) fn instance_of(key: &str) -> Option<&str> {
    key.split('/').nth(1)
}

/// The key prefix of all counts for `window`.
pub(super) fn window_prefix(window: u64) -> String {
    format!("{window:012}/")
}

/// The names of all parts that hold counts.
pub(super) fn count_parts() -> impl Iterator<Item = String> {
    (0..COUNT_PARTS).map(count_part)
}

fn count_part(number: u64) -> String {
    format!("counts-{number:02}")
}

/// The key of a window's report.
pub(super) fn report_key(window: u64) -> Key {
    Key::new(USAGE, REPORTS, format!("{window:012}"))
}

/// The key of the reporting lease.
pub(super) fn lease_key() -> Key {
    Key::new(USAGE, LEASE, "usage")
}
