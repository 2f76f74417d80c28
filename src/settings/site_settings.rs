//! The settings of gateways and runners.

use super::{
    InstanceLimits,
    Reader,
    SettingsError,
    common::address,
    file,
    load_settings::read_features, //
};
use crate::{
    base::Millis,
    policy::{load_features::LoadFeatures, usage::Windows},
    usage::Reporting, //
};
use std::{
    net::SocketAddr,
    path::Path, //
};

/// The settings that every gateway and every runner has.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    pub data_centre: String,
    /// How long a backend server serves after it was announced as draining; `None` if the
    /// settings don't say.
    pub drain: Option<Millis>,
    pub features: LoadFeatures,
    /// How long the process may take to exit after the stop signal.
    pub grace: Millis,
    pub instance: String,
    pub limits: InstanceLimits,
    pub log_level: String,
    /// The address at which the process serves its metrics.
    pub metrics: SocketAddr,
    /// The address at which other instances fetch changes from this one, see
    /// [`crate::relay`].
    pub peers: SocketAddr,
    /// How long a batch is kept after its submission.
    pub retention: Millis,
    pub store: SocketAddr,
}

/// The settings of a `redwing-gateway`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    /// The address at which the gateway listens for callers and trainers.
    pub callers: SocketAddr,
    pub common: SiteSettings,
    /// The maximum time from the removal of a key until it stops working, also on a gateway
    /// that can't reach the store. `None`: a key stops working as soon as the gateway learns of
    /// its removal.
    pub revocation: Option<Millis>,
    /// The address at which the load balancer checks whether this gateway is ready.
    pub ready: SocketAddr,
    /// How usage is reported; `None` if it is not reported.
    pub usage: Option<UsageSettings>,
}

/// How the usage of workspaces is reported.
#[derive(Clone, Copy, Debug)]
pub struct UsageSettings {
    /// The address to which reports are sent.
    pub address: SocketAddr,
    /// How long the reporting lease lasts without renewal; after that, another gateway may
    /// take it over.
    pub lease: Millis,
    /// The length of the time window that one report covers.
    pub window: Millis,
}

impl UsageSettings {
    /// The division of time into windows.
    pub fn windows(&self) -> Windows {
        Windows {
            length: self.window,
        }
    }

    /// The settings of the reporter: the address of its reports and the length of its lease.
    pub fn reporting(&self) -> Reporting {
        Reporting {
            address: self.address,
            lease: self.lease,
        }
    }

    fn read(reader: &Reader<'_>) -> Self {
        let settings = Self {
            address: address(reader, "address", None),
            lease: Millis(reader.number("lease_ms", MIN_LEASE_MS..=60_000, Some(4_000))),
            window: seconds(reader, "window_s", 60.0),
        };
        if settings.window < MIN_WINDOW {
            reader.reject("window_s", "a second or more", "less");
        }
        reader.finish();
        settings
    }
}

/// The shortest lease that its holder can renew in time, in ms.
const MIN_LEASE_MS: u64 = 2_500;

/// The shortest window whose counts can be summed.
const MIN_WINDOW: Millis = Millis(1_000);

/// The settings of a `redwing-runner`.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    pub common: SiteSettings,
    /// The address of the engine on the same instance.
    pub engine: SocketAddr,
    /// The service that the engine belongs to.
    pub service: String,
}

/// The share of the grace time that a graceful stop may use. The rest is for the exit of the
/// process.
const STOP_SHARE: f64 = 0.85;

impl SiteSettings {
    /// The time after which a graceful stop is forced.
    pub fn stop_timeout(&self) -> Millis {
        Millis((self.grace.0 as f64 * STOP_SHARE) as u64)
    }

    fn read(reader: &Reader<'_>, listen: &Reader<'_>) -> Self {
        Self {
            data_centre: reader.text("data_centre", None),
            drain: optional_millis(reader, "drain_ms", 0..=600_000),
            features: read_features(reader),
            grace: seconds(reader, "grace_s", 8.0),
            instance: reader.text("instance", None),
            limits: InstanceLimits::read(reader),
            log_level: reader.text("log_level", Some("info")),
            metrics: address(listen, "metrics", None),
            peers: address(listen, "peers", None),
            retention: seconds(reader, "retention_s", 120.0),
            store: address(reader, "store", None),
        }
    }
}

impl GatewaySettings {
    /// Loads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let listen = reader.section("listen");
        let settings = Self {
            callers: address(&listen, "callers", None),
            common: SiteSettings::read(reader, &listen),
            ready: address(&listen, "ready", None),
            revocation: optional_millis(reader, "revocation_ms", MIN_REVOCATION_MS..=600_000),
            usage: reader
                .has("usage")
                .then(|| UsageSettings::read(&reader.section("usage"))),
        };
        listen.finish();
        settings
    }
}

impl RunnerSettings {
    /// Loads and checks the settings file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the settings from the root of their document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let listen = reader.section("listen");
        let engine = reader.section("engine");
        let settings = Self {
            common: SiteSettings::read(reader, &listen),
            engine: address(&engine, "address", None),
            service: engine.text("service", None),
        };
        listen.finish();
        engine.finish();
        settings
    }
}

/// The shortest revocation time that a gateway can keep, in ms: several requests to the store
/// must fit into it.
const MIN_REVOCATION_MS: u64 = 1_500;

/// The number of milliseconds at `key`, if it is set.
fn optional_millis(
    reader: &Reader<'_>,
    key: &str,
    range: std::ops::RangeInclusive<u64>,
) -> Option<Millis> {
    let set = reader.has(key);
    let value = reader.number(key, range, Some(0));
    set.then_some(Millis(value))
}

fn seconds(reader: &Reader<'_>, key: &str, default: f64) -> Millis {
    let value: f64 = reader.value(key, "a number of seconds", Some(default));
    Millis((value.max(0.0) * 1_000.0) as u64)
}
