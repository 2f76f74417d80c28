//! Decodes the operators' configuration, and the weight versions that trainers name.

use super::{
    excerpt::excerpt,
    server_entry::MAX_VERSION, //
};
use crate::{
    base::Millis,
    routing::{
        Config, EngineModel, KeyDigest, Limits, Route, RouteKind, Service, Target, Workspace,
        Workspaces,
    }, //
};
use serde::Deserialize;
use snafu::{
    ResultExt,
    Snafu,
    ensure, //
};

/// Why a configuration can't be decoded.
#[derive(Debug, Snafu)]
pub enum ConfigError {
    #[snafu(display("invalid configuration: {}", excerpt(source)))]
    Syntax { source: serde_json::Error },
    #[snafu(display("route `{}` has the unknown type `{}`", excerpt(route), excerpt(found)))]
    UnknownType { route: String, found: String },
    #[snafu(display("version {version} is larger than {MAX_VERSION}"))]
    Version { version: u64 },
}

#[derive(Deserialize)]
struct WireConfig {
    limits: WireLimits,
    routes: Vec<WireRoute>,
    services: Vec<WireService>,
    /// The workspaces; absent when callers need no key.
    #[serde(default)]
    tenants: Option<Vec<WireTenant>>,
    version: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireTenant {
    #[serde(default)]
    api_keys: Vec<String>,
    name: String,
    #[serde(default)]
    priority: Option<u32>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    header_timeout_ms: f64,
    idle_timeout_ms: f64,
    max_body_bytes: usize,
    max_header_bytes: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRoute {
    #[serde(default)]
    allow_anonymous: bool,
    host: String,
    #[serde(default)]
    item_ttl_s: f64,
    #[serde(default)]
    max_attempts: Option<u32>,
    name: String,
    path_prefix: String,
    #[serde(default)]
    priority: Option<u32>,
    #[serde(default)]
    resumable: bool,
    #[serde(default)]
    result_deadline_ms: f64,
    route_type: String,
    #[serde(default)]
    service: Option<String>,
    #[serde(default)]
    single_version: bool,
    #[serde(default)]
    target_latency_ms: Option<f64>,
    #[serde(default)]
    timeout_ms: Option<f64>,
    #[serde(default)]
    traffic_split: Vec<WireTarget>,
}

#[derive(Deserialize)]
struct WireTarget {
    service: String,
    weight: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireService {
    #[serde(default)]
    engine: Option<WireEngine>,
    #[serde(default)]
    max_connections: Option<usize>,
    name: String,
}

#[derive(Deserialize)]
struct WireEngine {
    #[serde(default)]
    models: Vec<WireModel>,
}

#[derive(Deserialize)]
struct WireModel {
    name: String,
}

/// The timeout of a route that names none: the longest that the users' documentation
/// gives a caller.
const DEFAULT_TIMEOUT_MS: f64 = 30_000.0;

/// Weights of a traffic split may be fractional; they are scaled by this and truncated
/// to integers.
const WEIGHT_SCALE: f64 = 1_000.0;

/// The largest scaled weight of a target. The sum over the targets that fit into a row stays
/// within 64 bits.
const MAX_WEIGHT: f64 = 1e12;

/// The most connections that a service's servers are taken to accept: more than a process can
/// open. The share that is calculated from it stays within the type.
const MAX_CONNECTIONS: usize = 1_000_000;

/// Decodes a configuration.
///
/// # Errors
///
/// [`ConfigError`] when a field is missing or has the wrong type, or when a route's type
/// is unknown. Also when the version is one that no operator gives: all later configurations
/// would count as older.
pub fn read_config(value: &[u8]) -> Result<Config, ConfigError> {
    let wire: WireConfig = serde_json::from_slice(value).context(SyntaxSnafu)?;
    let version = wire.version;
    ensure!(version <= MAX_VERSION, VersionSnafu { version });
    let routes: Result<Vec<Route>, ConfigError> = wire.routes.into_iter().map(route).collect();
    let services = wire.services.into_iter().map(service).collect();
    let limits = Limits {
        max_body: wire.limits.max_body_bytes,
        max_head: wire.limits.max_header_bytes,
        head_timeout: millis(wire.limits.header_timeout_ms),
        idle_timeout: millis(wire.limits.idle_timeout_ms),
    };
    let mut config = Config::new(wire.version, routes?, services, limits);
    config.workspaces = wire.tenants.map(workspaces);
    Ok(config)
}

fn workspaces(wire: Vec<WireTenant>) -> Workspaces {
    let mut all = Workspaces::default();
    for tenant in wire {
        let keys = tenant.api_keys;
        let workspace = Workspace {
            name: tenant.name,
            priority: tenant.priority,
        };
        let digests = keys.iter().map(|key| KeyDigest::of(key.as_bytes()));
        all.insert(workspace, digests);
    }
    all
}

fn route(wire: WireRoute) -> Result<Route, ConfigError> {
    let kind = match wire.route_type.as_str() {
        "rollout" => RouteKind::Batch,
        "safe" => RouteKind::Safe,
        "streaming" => RouteKind::Stream {
            resumable: wire.resumable,
        },
        "unsafe" => RouteKind::Unsafe,
        found => {
            let route = wire.name;
            return UnknownTypeSnafu { route, found }.fail();
        }
    };
    let mut targets: Vec<Target> = wire
        .traffic_split
        .into_iter()
        .map(|target| Target {
            service: target.service,
            weight: (target.weight * WEIGHT_SCALE).min(MAX_WEIGHT) as u64,
        })
        .collect();
    if let (true, Some(service)) = (targets.is_empty(), wire.service) {
        targets.push(Target { service, weight: 1 });
    }
    Ok(Route {
        max_attempts: wire.max_attempts.unwrap_or(1).max(1),
        host: wire.host,
        item_ttl: millis(wire.item_ttl_s * 1_000.0),
        kind,
        name: wire.name,
        allow_anonymous: wire.allow_anonymous,
        prefix: wire.path_prefix,
        priority: wire.priority,
        result_deadline: millis(wire.result_deadline_ms),
        single_version: wire.single_version,
        target_latency: wire.target_latency_ms.map(millis),
        targets,
        timeout: millis(wire.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
    })
}

fn service(wire: WireService) -> Service {
    let models = wire.engine.map_or_else(Vec::new, |engine| engine.models);
    Service {
        max_connections: wire.max_connections.map(|most| most.min(MAX_CONNECTIONS)),
        models: models
            .into_iter()
            .map(|model| EngineModel { name: model.name })
            .collect(),
        name: wire.name,
    }
}

fn millis(value: f64) -> Millis {
    Millis(value.max(0.0) as u64)
}

/// A trainer's announcement that a weight version of a model exists.
#[derive(Debug, Deserialize)]
pub struct NamedVersion {
    pub model: String,
    pub version: u64,
}

/// Decodes a trainer's announcement of a weight version. An invalid one is logged and
/// gives `None`, as does a version that no trainer names: all later ones would count as older.
pub fn read_named_version(value: &[u8]) -> Option<NamedVersion> {
    match serde_json::from_slice::<NamedVersion>(value) {
        Ok(named) if named.version <= MAX_VERSION => Some(named),
        Ok(NamedVersion { version, .. }) => {
            tracing::warn!(version, "named weight version ignored: it is too large");
            None
        }
        Err(error) => {
            let error = excerpt(&error);
            tracing::warn!(error, "named weight version could not be decoded");
            None
        }
    }
}
