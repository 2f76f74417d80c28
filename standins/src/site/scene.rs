//! A whole site in one process: store, servers, gateways and runners.

use super::{
    Batch,
    Engine,
    Plain,
    Reply,
    ScenePage,
    Store, //
};
use crate::client::{
    Client, //
    FullResponse,
};
use hyper::Method;
use redwingpond::{
    base::{Clock, Millis},
    gateway::Gateway,
    runner::Runner,
    settings::{GatewaySettings, RunnerSettings, SiteCommon, UsageSettings}, //
};
use std::{
    io,
    net::SocketAddr,
    time::Duration, //
};

/// How many of each a scene has.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub engines: usize,
    pub gateways: usize,
    pub plain: usize,
    /// How long a batch can be read.
    pub retention: Millis,
    /// Within which time of its removal a key must stop working.
    pub revocation: Option<Millis>,
    /// Where use is reported.
    pub usage: Option<UsageSettings>,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            engines: 3,
            gateways: 2,
            plain: 2,
            retention: Millis(60_000),
            revocation: None,
            usage: None,
        }
    }
}

/// A running site; dropping it ends all of it.
pub struct Scene {
    pub client: Client,
    pub clock: Clock,
    pub engines: Vec<Engine>,
    pub gateways: Vec<Gateway>,
    pub plain: Vec<Plain>,
    /// One for each engine; `None` while it is stopped.
    pub runners: Vec<Option<Runner>>,
    retention: Millis,
    revocation: Option<Millis>,
    usage: Option<UsageSettings>,
    pub store: Store,
    version: u64,
    /// The workspaces and their keys; null where callers need none.
    workspaces: serde_json::Value,
}

/// How long the site may take to come up.
const UP: Millis = Millis(8_000);

/// How long a request may take.
const WITHIN: Duration = Duration::from_secs(10);

impl Scene {
    /// Opens a site and waits until its gateways are ready and its runners work.
    pub async fn open(shape: Shape) -> io::Result<Self> {
        let mut scene = Self::open_unconfigured(shape).await?;
        scene.put_config(serde_json::json!([]));
        scene.wait_up().await?;
        Ok(scene)
    }

    /// Opens a site to which no configuration was given yet.
    pub async fn open_unconfigured(shape: Shape) -> io::Result<Self> {
        let store = Store::open().await?;
        let mut engines = Vec::new();
        for number in 0..shape.engines {
            engines.push(Engine::open(&format!("engine-{number}"), "m0").await?);
        }
        let mut plain = Vec::new();
        for number in 0..shape.plain {
            plain.push(Plain::open(&format!("plain-{number}")).await?);
        }
        let mut scene = Self {
            client: Client::default(),
            clock: Clock::open(),
            engines,
            gateways: Vec::new(),
            plain,
            runners: Vec::new(),
            retention: shape.retention,
            revocation: shape.revocation,
            usage: shape.usage,
            store,
            version: 0,
            workspaces: serde_json::Value::Null,
        };
        scene.announce_all();
        for number in 0..shape.gateways {
            let gateway = Gateway::open(scene.gateway_settings(number));
            scene.gateways.push(gateway.map_err(io::Error::other)?);
        }
        for number in 0..shape.engines {
            scene.runners.push(None);
            scene.start_runner(number)?;
        }
        Ok(scene)
    }

    /// Starts the runner beside an engine.
    pub fn start_runner(&mut self, number: usize) -> io::Result<()> {
        let settings = RunnerSettings {
            common: self.common(&format!("runner-{number}")),
            engine: self.engines[number].address,
            service: "engines".to_owned(),
        };
        let runner = Runner::open(settings).map_err(io::Error::other)?;
        self.runners[number] = Some(runner);
        Ok(())
    }

    /// Starts another gateway and waits until it is ready.
    pub async fn start_gateway(&mut self) -> io::Result<()> {
        let settings = self.gateway_settings(self.gateways.len());
        let gateway = Gateway::open(settings).map_err(io::Error::other)?;
        self.gateways.push(gateway);
        self.wait_up().await
    }

    /// The same for one that reaches the store at another address.
    pub async fn start_gateway_via(&mut self, store: SocketAddr) -> io::Result<()> {
        let mut settings = self.gateway_settings(self.gateways.len());
        settings.common.store = store;
        let gateway = Gateway::open(settings).map_err(io::Error::other)?;
        self.gateways.push(gateway);
        self.wait_up().await
    }

    /// Announces all servers as ready.
    pub fn announce_all(&self) {
        for engine in &self.engines {
            self.announce_engine(engine, "ready");
        }
        for plain in &self.plain {
            self.announce(&plain.id, "plain", plain.address, "ready");
        }
    }

    /// Announces an engine.
    pub fn announce_engine(&self, engine: &Engine, state: &str) {
        announce_engine(&self.store, engine, state);
    }

    /// Announces a server.
    pub fn announce(&self, id: &str, service: &str, address: SocketAddr, state: &str) {
        let entry = server_entry(service, address, state);
        self.store.put("servers", id, Some(&entry));
    }

    /// Writes a configuration that is newer than the one before: the routes
    /// that every scene has, and `more`.
    pub fn put_config(&mut self, more: serde_json::Value) {
        self.version += 3;
        put_config(&self.store, self.version, &more, &self.workspaces);
    }

    /// Writes a newer configuration with these workspaces: names and keys.
    pub fn put_workspaces(&mut self, workspaces: &[(&str, &[&str])]) {
        let each = workspaces
            .iter()
            .map(|(name, keys)| serde_json::json!({"name": name, "apiKeys": keys, "priority": 1}));
        self.workspaces = each.collect();
        self.put_config(serde_json::json!([]));
    }

    /// Names a weight version as a trainer does.
    pub fn name_version(&self, version: u64) {
        let named = serde_json::json!({"model": "m0", "version": version});
        self.store.put("op", "version/m0", Some(&named));
    }

    /// Sends a request to a gateway.
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
        let answer = self.client.call(method, address, path, &all, body, WITHIN);
        answer.await.ok()
    }

    /// Submits a batch; the status, or `None` when there was no answer.
    pub async fn submit(&self, gateway: usize, batch: &Batch) -> Option<u16> {
        let path = format!("/roll/{}", batch.id);
        let headers = [("x-attempt-id", batch.id.as_str())];
        let answer = self.send(gateway, Method::POST, &path, &headers, batch.body());
        Some(answer.await?.status.as_u16())
    }

    /// Reads a page of results.
    pub async fn page(&self, gateway: usize, batch: &Batch, from: usize) -> Option<ScenePage> {
        let path = format!("/redwingpond/lots/{}?startAfter={from}", batch.id);
        let headers = [("x-wait-ms", "200")];
        let answer = self.send(gateway, Method::GET, &path, &headers, "").await?;
        (answer.status == 200).then(|| ScenePage::read(&answer))
    }

    /// Reads results until `count` are there or `within` has passed.
    pub async fn read(&self, batch: &Batch, count: usize, within: Millis) -> Vec<Reply> {
        let until = self.clock.now() + within;
        let mut results = Vec::new();
        while results.len() < count && self.clock.now() < until {
            let gateway = results.len() % self.gateways.len();
            match self.page(gateway, batch, results.len()).await {
                Some(page) => results.extend(page.results),
                None => tokio::time::sleep(Duration::from_millis(50)).await,
            }
        }
        results
    }

    /// Ends a batch; the status.
    pub async fn end(&self, gateway: usize, batch: &Batch) -> Option<u16> {
        let path = format!("/redwingpond/lots/{}", batch.id);
        let answer = self.send(gateway, Method::DELETE, &path, &[], "").await?;
        Some(answer.status.as_u16())
    }

    async fn wait_up(&self) -> io::Result<()> {
        let until = self.clock.now() + UP;
        while self.clock.now() < until {
            if self.is_up().await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(io::Error::other("the site did not come up"))
    }

    async fn is_up(&self) -> bool {
        for gateway in &self.gateways {
            let (method, ready) = (Method::GET, gateway.ready);
            let asked = self.client.call(method, ready, "/readyz", &[], "", WITHIN);
            if !asked.await.is_ok_and(|answer| answer.status == 200) {
                return false;
            }
        }
        true
    }

    fn gateway_settings(&self, number: usize) -> GatewaySettings {
        GatewaySettings {
            callers: any_port(),
            common: self.common(&format!("gateway-{number}")),
            ready: any_port(),
            revocation: self.revocation,
            usage: self.usage,
        }
    }

    fn common(&self, instance: &str) -> SiteCommon {
        SiteCommon {
            data_centre: "north".to_owned(),
            grace: Millis(8_000),
            instance: instance.to_owned(),
            log_level: "info".to_owned(),
            metrics: any_port(),
            peers: any_port(),
            retention: self.retention,
            store: self.store.address,
        }
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Writes an engine's announcement.
pub fn announce_engine(store: &Store, engine: &Engine, state: &str) {
    let mut entry = server_entry("engines", engine.address, state);
    entry["born"] = engine.born().0.into();
    store.put("servers", &engine.id, Some(&entry));
}

/// A server's announcement.
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

/// Writes the configuration `version`: the routes that every site of the tests
/// has, and `more`. Only scorers' requests need no key where there are `workspaces`.
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
