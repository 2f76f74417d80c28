//! A whole site in one process: stand-ins for the store and the servers, and real gateways
//! and runners.

use super::{
    Batch,
    Engine,
    ItemResult,
    PlainServer,
    ResultPage,
    Store,
    log::open_log, //
};
use crate::client::{
    Client, //
    FullResponse,
};
use hyper::Method;
use redwingpond::{
    base::{Clock, Millis},
    gateway::Gateway,
    policy::load_features::LoadFeatures,
    runner::Runner,
    settings::{GatewaySettings, InstanceLimits, RunnerSettings, SiteSettings, UsageSettings}, //
};
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

/// The size and the settings of a test site.
#[derive(Clone, Copy, Debug)]
pub struct SiteOptions {
    /// How long an engine serves after it was announced as draining; `None` if unknown.
    pub drain: Option<Millis>,
    /// The number of engines, and of runners.
    pub engines: usize,
    /// The behaviour under load that is on at gateways and runners.
    pub features: LoadFeatures,
    pub gateways: usize,
    /// The limits of each instance.
    pub limits: InstanceLimits,
    /// The number of plain servers.
    pub plain: usize,
    /// How long a batch stays readable after its submission.
    pub retention: Millis,
    /// How long a removed API key may still work; `None` for no limit.
    pub revocation: Option<Millis>,
    /// The gateways' settings for usage reports; `None` for no reports.
    pub usage: Option<UsageSettings>,
}

impl Default for SiteOptions {
    fn default() -> Self {
        Self {
            drain: None,
            engines: 3,
            features: LoadFeatures::default(),
            gateways: 2,
            limits: InstanceLimits::default(),
            plain: 2,
            retention: Millis(60_000),
            revocation: None,
            usage: None,
        }
    }
}

/// A running site; dropping it stops all of its parts.
pub struct TestSite {
    pub client: Client,
    pub clock: Clock,
    drain: Option<Millis>,
    pub engines: Vec<Engine>,
    features: LoadFeatures,
    pub gateways: Vec<Gateway>,
    limits: InstanceLimits,
    pub plain: Vec<PlainServer>,
    /// The runner of each engine; `None` while it is stopped.
    pub runners: Vec<Option<Runner>>,
    retention: Millis,
    revocation: Option<Millis>,
    usage: Option<UsageSettings>,
    pub store: Store,
    /// The version of the latest configuration.
    version: u64,
    /// The workspaces and their keys in the configuration; null if callers need no key.
    workspaces: serde_json::Value,
}

/// How long the gateways may take to become ready.
const READY_TIMEOUT: Millis = Millis(8_000);

/// How long the client waits for an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

impl TestSite {
    /// Starts a site and waits until its gateways are ready.
    pub async fn open(options: SiteOptions) -> io::Result<Self> {
        let mut site = Self::open_unconfigured(options).await?;
        site.put_config(serde_json::json!([]));
        site.wait_ready().await?;
        Ok(site)
    }

    /// Starts a site without a configuration; its gateways aren't ready until they get one.
    pub async fn open_unconfigured(options: SiteOptions) -> io::Result<Self> {
        open_log();
        let store = Store::open().await?;
        let mut engines = Vec::new();
        for index in 0..options.engines {
            engines.push(Engine::open(&format!("engine-{index}"), "m0").await?);
        }
        let mut plain = Vec::new();
        for index in 0..options.plain {
            plain.push(PlainServer::open(&format!("plain-{index}")).await?);
        }
        let mut site = Self {
            client: Client::default(),
            clock: Clock::open(),
            drain: options.drain,
            engines,
            features: options.features,
            gateways: Vec::new(),
            limits: options.limits,
            plain,
            runners: Vec::new(),
            retention: options.retention,
            revocation: options.revocation,
            usage: options.usage,
            store,
            version: 0,
            workspaces: serde_json::Value::Null,
        };
        site.announce_all();
        for index in 0..options.gateways {
            let gateway = Gateway::open(site.gateway_settings(index));
            site.gateways.push(gateway.map_err(io::Error::other)?);
        }
        for index in 0..options.engines {
            site.runners.push(None);
            site.start_runner(index)?;
        }
        Ok(site)
    }

    /// Starts the runner of an engine.
    pub fn start_runner(&mut self, index: usize) -> io::Result<()> {
        self.start_runner_via(index, self.engines[index].address)
    }

    /// Starts the runner of an engine, which reaches it at the address `engine`.
    pub fn start_runner_via(&mut self, index: usize, engine: SocketAddr) -> io::Result<()> {
        let settings = self.runner_settings(index, engine);
        let runner = Runner::open(settings).map_err(io::Error::other)?;
        self.runners[index] = Some(runner);
        Ok(())
    }

    /// Starts the runner of an engine anew, which uses the store at the address `store`.
    pub fn move_runner(&mut self, index: usize, store: SocketAddr) -> io::Result<()> {
        self.runners[index] = None;
        let mut settings = self.runner_settings(index, self.engines[index].address);
        settings.common.store = store;
        let runner = Runner::open(settings).map_err(io::Error::other)?;
        self.runners[index] = Some(runner);
        Ok(())
    }

    /// Announces an engine at the address `via`, which leads to it, and starts its runner anew
    /// to reach it there.
    pub fn move_engine(&mut self, index: usize, via: SocketAddr) -> io::Result<()> {
        self.runners[index] = None;
        let engine = &self.engines[index];
        let mut entry = server_entry("engines", via, "ready");
        entry["born"] = engine.started_at().0.into();
        self.store.put("servers", &engine.id, Some(&entry));
        self.start_runner_via(index, via)
    }

    /// Starts another gateway and waits until it is ready.
    pub async fn start_gateway(&mut self) -> io::Result<()> {
        let settings = self.gateway_settings(self.gateways.len());
        let gateway = Gateway::open(settings).map_err(io::Error::other)?;
        self.gateways.push(gateway);
        self.wait_ready().await
    }

    /// Starts another gateway that uses the store at this address, and waits until it is
    /// ready.
    pub async fn start_gateway_via(&mut self, store: SocketAddr) -> io::Result<()> {
        let mut settings = self.gateway_settings(self.gateways.len());
        settings.common.store = store;
        let gateway = Gateway::open(settings).map_err(io::Error::other)?;
        self.gateways.push(gateway);
        self.wait_ready().await
    }

    /// Announces all engines and plain servers as ready.
    pub fn announce_all(&self) {
        for engine in &self.engines {
            self.announce_engine(engine, "ready");
        }
        for plain in &self.plain {
            self.announce(&plain.id, "plain", plain.address, "ready");
        }
    }

    /// Announces an engine with the given state.
    pub fn announce_engine(&self, engine: &Engine, state: &str) {
        announce_engine(&self.store, engine, state);
    }

    /// Announces a server of `service` under `id` with the given state.
    pub fn announce(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let entry = server_entry(service, address, state);
        self.store.put("servers", id, Some(&entry));
    }

    /// Writes a newer configuration, with the routes that every site has and those in
    /// `more`, a JSON array.
    pub fn put_config(&mut self, more: serde_json::Value) {
        self.version += 3;
        put_config(&self.store, self.version, &more, &self.workspaces);
    }

    /// Writes a newer configuration with these workspaces, each with its name and its API keys.
    pub fn put_workspaces(&mut self, workspaces: &[(&str, &[&str])]) {
        let each = workspaces
            .iter()
            .map(|(name, keys)| serde_json::json!({"name": name, "apiKeys": keys, "priority": 1}));
        self.workspaces = each.collect();
        self.put_config(serde_json::json!([]));
    }

    /// Writes a named weight version as a trainer does; engines then load it.
    pub fn name_version(&self, version: u64) {
        let named = serde_json::json!({"model": "m0", "version": version});
        self.store.put("op", "version/m0", Some(&named));
    }

    /// Sends a request to a gateway; `None` if there was no answer.
    pub async fn send(
        &self,
        gateway: usize,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<bytes::Bytes>,
    ) -> Option<FullResponse> {
        let address = self.gateways[gateway].callers;
        let mut all = vec![("host", "site.example")];
        all.extend_from_slice(headers);
        let answer = self
            .client
            .call(method, address, path, &all, body, REQUEST_TIMEOUT);
        answer.await.ok()
    }

    /// Submits a batch; returns the status, or `None` if there was no answer.
    pub async fn submit(&self, gateway: usize, batch: &Batch) -> Option<u16> {
        let path = format!("{}{}", batch.prefix, batch.id);
        let headers = [("x-attempt-id", batch.id.as_str())];
        let answer = self.send(gateway, Method::POST, &path, &headers, batch.body());
        Some(answer.await?.status.as_u16())
    }

    /// Reads a page of results, beginning with position `from`; `None` unless the status is 200.
    pub async fn read_page(
        &self,
        gateway: usize,
        batch: &Batch,
        from: usize,
    ) -> Option<ResultPage> {
        let path = format!("/redwingpond/lots/{}?startAfter={from}", batch.id);
        let headers = [("x-wait-ms", "200")];
        let answer = self.send(gateway, Method::GET, &path, &headers, "").await?;
        (answer.status == 200).then(|| ResultPage::read(&answer))
    }

    /// Reads results through all gateways in turn until there are `count` or `within` has
    /// passed.
    pub async fn read_results(
        &self,
        batch: &Batch,
        count: usize,
        within: Millis,
    ) -> Vec<ItemResult> {
        let deadline = self.clock.now() + within;
        let mut results = Vec::new();
        while results.len() < count && self.clock.now() < deadline {
            let gateway = results.len() % self.gateways.len();
            match self.read_page(gateway, batch, results.len()).await {
                Some(page) => results.extend(page.results),
                None => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        results
    }

    /// Ends a batch; returns the status, or `None` if there was no answer.
    pub async fn end_batch(&self, gateway: usize, batch: &Batch) -> Option<u16> {
        let path = format!("/redwingpond/lots/{}", batch.id);
        let answer = self.send(gateway, Method::DELETE, &path, &[], "").await?;
        Some(answer.status.as_u16())
    }

    /// Waits until all gateways report ready.
    async fn wait_ready(&self) -> io::Result<()> {
        let deadline = self.clock.now() + READY_TIMEOUT;
        while self.clock.now() < deadline {
            if self.is_ready().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other(
            "the gateways did not become ready in time",
        ))
    }

    async fn is_ready(&self) -> bool {
        for gateway in &self.gateways {
            let (method, ready) = (Method::GET, gateway.ready);
            let asked = self
                .client
                .call(method, ready, "/readyz", &[], "", REQUEST_TIMEOUT);
            if !asked.await.is_ok_and(|answer| answer.status == 200) {
                return false;
            }
        }
        true
    }

    fn gateway_settings(&self, index: usize) -> GatewaySettings {
        GatewaySettings {
            callers: any_port(),
            common: self.common(&format!("gateway-{index}")),
            ready: any_port(),
            revocation: self.revocation,
            usage: self.usage,
        }
    }

    fn runner_settings(&self, index: usize, engine: SocketAddr) -> RunnerSettings {
        RunnerSettings {
            common: self.common(&format!("runner-{index}")),
            engine,
            service: "engines".to_owned(),
        }
    }

    /// The settings that gateways and runners have in common.
    fn common(&self, instance: &str) -> SiteSettings {
        SiteSettings {
            data_centre: "north".to_owned(),
            drain: self.drain,
            features: self.features,
            grace: Millis(8_000),
            instance: instance.to_owned(),
            limits: self.limits,
            log_level: "info".to_owned(),
            metrics: any_port(),
            peers: any_port(),
            retention: self.retention,
            store: self.store.address,
        }
    }
}

/// The loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Announces an engine with the given state in the store.
pub fn announce_engine(store: &Store, engine: &Engine, state: &str) {
    let mut entry = server_entry("engines", engine.address, state);
    entry["born"] = engine.started_at().0.into();
    store.put("servers", &engine.id, Some(&entry));
}

/// The announcement of a server, as JSON.
pub fn server_entry(service: &str, address: SocketAddr, state: &str) -> serde_json::Value {
    serde_json::json!({
        "service": service,
        "address": address,
        "zone": "north",
        "version": "v1",
        "batchSlots": 4,
        "state": state,
        "coldRemainingMs": 0,
        "sequence": 0,
    })
}

/// Writes configuration `version` with the routes that every test site has and those in
/// `more`. If `workspaces` is not null, all routes but the scorers' need an API key.
pub fn put_config(
    store: &Store,
    version: u64,
    more: &serde_json::Value,
    workspaces: &serde_json::Value,
) {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": name,
            "host": "site.example",
            "pathPrefix": prefix,
            "routeType": kind,
            "timeoutMs": 2_000,
            "targetLatencyMs": 200,
            "resultDeadlineMs": 5_000,
            "itemTtlS": 20,
            "priority": 1,
            "maxAttempts": 3,
            "service": service,
            "allowAnonymous": name == "score",
        })
    };
    let mut routes = vec![
        route("roll", "/roll/", "rollout", "engines"),
        route("safe", "/safe/", "safe", "plain"),
        route("once", "/once/", "unsafe", "plain"),
        route("score", "/score/", "safe", "plain"),
    ];
    routes.extend(more.as_array().cloned().unwrap_or_default());
    let mut config = serde_json::json!({
        "version": version,
        "routes": routes,
        "services": [
            {"name": "engines", "healthCheckPath": "/healthz", "maxConnections": 100,
             "engine": {"batchSlots": 4, "models": [{"name": "m0"}]}},
            {"name": "plain", "healthCheckPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    });
    if !workspaces.is_null() {
        config["tenants"] = workspaces.clone();
    }
    store.put("op", "config", Some(&config));
}
