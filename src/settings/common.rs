//! The settings that entries and agents share.

use super::Reader;
use crate::{
    base::Millis,
    policy::router::Policy, //
};
use std::net::SocketAddr;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum LogFormat {
    Json,
    #[default]
    Text,
}

/// The time limits of a graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct DrainSettings {
    /// After this long the stop is forced, and the requests that it cuts are counted.
    pub timeout: Millis,
    /// How long a stopping process stays reachable at least, because others may have sent
    /// requests before they learned of the stop. An entry still accepts callers' requests; an
    /// agent refuses those of entries, which then know that these requests did not run.
    pub close_delay: Millis,
}

/// The settings that every entry and every agent has.
#[derive(Clone, Debug)]
pub struct CommonSettings {
    pub admin: SocketAddr,
    pub data_centre: String,
    pub drain: DrainSettings,
    pub instance: String,
    /// The secret of the deployment. A process that doesn't know it can't open a link.
    pub key: String,
    pub links: SocketAddr,
    pub log: LogFormat,
    /// A log filter such as `info` or `info,decision=off`.
    pub log_level: String,
    pub platform: SocketAddr,
}

/// The default listening address, at which the system chooses the port.
pub(super) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reads the IP address and port at `key`.
pub(super) fn address(reader: &Reader<'_>, key: &str, default: Option<SocketAddr>) -> SocketAddr {
    let Some(default) = default else {
        let text = reader.text(key, None);
        return text.parse().unwrap_or_else(|_| {
            if !text.is_empty() {
                let found = format!("`{text}`");
                reader.reject(key, "an IP address and a port", &found);
            }
            any_port()
        });
    };
    let text = reader.text(key, Some(&default.to_string()));
    text.parse().unwrap_or_else(|_| {
        let found = format!("`{text}`");
        reader.reject(key, "an IP address and a port", &found);
        default
    })
}

/// Reads the policy by which a process routes, queues and retries.
pub(super) fn policy(reader: &Reader<'_>) -> Policy {
    let words = [("baseline", Policy::Baseline), ("current", Policy::Current)];
    let policy = reader.choice("policy", &words, Some(Policy::Current));
    policy.unwrap_or_default()
}

impl CommonSettings {
    /// The hash that a process sends on a new link to prove that it knows the key.
    pub fn link_key(&self) -> String {
        let key = blake3::derive_key("redwingpond link key v1", self.key.as_bytes());
        blake3::Hash::from_bytes(key).to_string()
    }

    /// Reads these settings from the root of the document.
    pub fn read(reader: &Reader<'_>) -> Self {
        let drain = reader.section("drain");
        let listen = reader.section("listen");
        let log = reader.section("log");
        let common = Self {
            admin: address(&listen, "admin", Some(any_port())),
            data_centre: reader.text("data_centre", None),
            drain: DrainSettings {
                timeout: Millis(drain.number("bound_ms", 100..=3_600_000, Some(60_000))),
                close_delay: Millis(drain.number("leave_ms", 0..=60_000, Some(2_000))),
            },
            instance: reader.text("instance", None),
            key: reader.text("key", None),
            links: address(&listen, "links", Some(any_port())),
            log: log
                .choice(
                    "format",
                    &[("json", LogFormat::Json), ("text", LogFormat::Text)],
                    Some(LogFormat::Text),
                )
                .unwrap_or_default(),
            log_level: log.text("level", Some("info")),
            platform: address(reader, "platform", None),
        };
        if common.drain.close_delay > common.drain.timeout {
            let found = common.drain.close_delay.0.to_string();
            drain.reject("leave_ms", "no more than `bound_ms`", &found);
        }
        drain.finish();
        log.finish();
        common
    }
}
