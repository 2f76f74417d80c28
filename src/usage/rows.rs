//! Where use lies in the store.

use crate::{
    base::{Millis, stable_hash},
    policy::usage::Counts,
    store::Key, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The table of all that concerns use.
pub(super) const USAGE: &str = "usage";

/// The part with what the gateways' clocks say.
pub(super) const CLOCKS: &str = "clocks";

/// The part with the windows that were summed up.
pub(super) const REPORTS: &str = "reports";

/// The part with the lease of reporting.
const LEASE: &str = "lease";

/// Gateways write their counts to this many parts: one part takes 200 transactions
/// a second, and hundreds of gateways write each second.
const COUNT_PARTS: u64 = 16;

/// What a gateway's clock says.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct ClockRow {
    /// When it was written, by the store's clock.
    pub(super) at: Millis,
    /// Unix time less the store's clock, in ms.
    pub(super) offset: i64,
}

/// A window that was summed up: what is sent of it, for good.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct Report {
    pub(super) counts: Counts,
    /// Whether the platform has taken it.
    pub(super) sent: bool,
}

/// One life of a gateway.
#[derive(Clone, Debug)]
pub(super) struct GatewayRun {
    pub(super) instance: String,
    /// When it started, in Unix ms.
    pub(super) started: Millis,
}

impl GatewayRun {
    /// Its row of counts for `window`.
    pub(super) fn count_key(&self, window: u64) -> Key {
        let number = stable_hash(&[self.instance.as_bytes()]) % COUNT_PARTS;
        let (instance, started) = (&self.instance, self.started.0);
        let key = format!("{}{instance}/{started}", window_prefix(window));
        Key::new(USAGE, count_part(number), key)
    }

    /// Its row of [`CLOCKS`].
    pub(super) fn clock_key(&self) -> Key {
        Key::new(USAGE, CLOCKS, self.instance.as_str())
    }
}

/// The gateway that wrote the row of counts called `key`.
pub(super) fn instance_of(key: &str) -> Option<&str> {
    key.split('/').nth(1)
}

/// What the keys of a window's counts begin with.
pub(super) fn window_prefix(window: u64) -> String {
    format!("{window:012}/")
}

/// The parts in which counts lie.
pub(super) fn count_parts() -> impl Iterator<Item = String> {
    (0..COUNT_PARTS).map(count_part)
}

fn count_part(number: u64) -> String {
    format!("counts-{number:02}")
}

/// The row of a window that was summed up.
pub(super) fn report_key(window: u64) -> Key {
    Key::new(USAGE, REPORTS, format!("{window:012}"))
}

/// The row of the lease.
pub(super) fn lease_key() -> Key {
    Key::new(USAGE, LEASE, "usage")
}
