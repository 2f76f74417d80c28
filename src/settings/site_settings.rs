//! The settings of a gateway and of a runner.

use super::{
    Reader,
    SettingsError,
    common::address,
    file, //
};
use crate::{
    base::Millis,
    policy::usage::Windows,
    usage::Reporting, //
};
use std::{
    net::SocketAddr,
    path::Path, //
};

/// What every program on a site is told.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    pub data_centre: String,
    /// How long after the stop signal the process may live.
    pub grace: Millis,
    pub instance: String,
    pub log_level: String,
    pub metrics: SocketAddr,
    /// Where other instances of the program ask for what this one knows.
    pub peers: SocketAddr,
    /// How long after its submission a batch can be read.
    pub retention: Millis,
    pub store: SocketAddr,
}

/// The settings of a `redwing-gateway`.
#[derive(Clone, Debug)]
pub struct GatewaySettings {
    pub callers: SocketAddr,
    pub common: SiteSettings,
    /// Within which time of its removal a key must stop working, also on a gateway
    /// that doesn't reach the store; `None` for as soon as it hears of it.
    pub revocation: Option<Millis>,
    /// Where the balancer asks whether this gateway is ready.
    pub ready: SocketAddr,
    /// Where use is reported; `None` where nobody asks for it.
    pub usage: Option<UsageSettings>,
}

/// How use is reported.
#[derive(Clone, Copy, Debug)]
pub struct UsageSettings {
    pub address: SocketAddr,
    /// Nobody takes over from a holder that was heard of within this time.
    pub lease: Millis,
    /// What one report covers.
    pub window: Millis,
}

impl UsageSettings {
    /// How time is cut into windows.
    pub fn windows(&self) -> Windows {
        Windows {
            length: self.window,
        }
    }

    /// Where reports go, by whom.
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

/// The shortest lease that can be renewed in time.
const MIN_LEASE_MS: u64 = 2_500;

/// The shortest window that can be summed up.
const MIN_WINDOW: Millis = Millis(1_000);

/// The settings of a `redwing-runner`.
#[derive(Clone, Debug)]
pub struct RunnerSettings {
    pub common: SiteSettings,
    /// The engine on the same instance.
    pub engine: SocketAddr,
    /// The service that the engine belongs to.
    pub service: String,
}

/// The part of the grace that a stop may use; the rest is for the exit itself.
const STOP_SHARE: f64 = 0.85;

impl SiteSettings {
    /// After this long a graceful stop is forced.
    pub fn stop_timeout(&self) -> Millis {
        Millis((self.grace.0 as f64 * STOP_SHARE) as u64)
    }

    fn read(reader: &Reader<'_>, listen: &Reader<'_>) -> Self {
        Self {
            data_centre: reader.text("data_centre", None),
            grace: seconds(reader, "grace_s", 8.0),
            instance: reader.text("instance", None),
            log_level: reader.text("log_level", Some("info")),
            metrics: address(listen, "metrics", None),
            peers: address(listen, "peers", None),
            retention: seconds(reader, "retention_s", 120.0),
            store: address(reader, "store", None),
        }
    }
}

impl GatewaySettings {
    /// Loads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the document's root.
    pub fn read(reader: &Reader<'_>) -> Self {
        let listen = reader.section("listen");
        let settings = Self {
            callers: address(&listen, "callers", None),
            common: SiteSettings::read(reader, &listen),
            ready: address(&listen, "ready", None),
            revocation: revocation(reader),
            usage: reader
                .has("usage")
                .then(|| UsageSettings::read(&reader.section("usage"))),
        };
        listen.finish();
        settings
    }
}

impl RunnerSettings {
    /// Loads and checks the file at `path`.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        file::load(path, Self::read)
    }

    /// Reads the document's root.
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

/// The shortest revocation that can be kept: some questions to the store must fit.
const MIN_REVOCATION_MS: u64 = 1_500;

fn revocation(reader: &Reader<'_>) -> Option<Millis> {
    let set = reader.has("revocation_ms");
    let within = reader.number("revocation_ms", MIN_REVOCATION_MS..=600_000, Some(0));
    set.then_some(Millis(within))
}

fn seconds(reader: &Reader<'_>, key: &str, default: f64) -> Millis {
    let value: f64 = reader.value(key, "a number of seconds", Some(default));
    Millis((value.max(0.0) * 1_000.0) as u64)
}
