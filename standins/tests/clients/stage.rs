//! A small site whose gateway and runner are processes with small limits.

use super::program::{Program, free_port};
use hyper::Method;
use redwing_standins::{
    client::{Client, FullResponse},
    site::{Batch, Engine, PlainServer, Store, announce_engine, server_entry}, //
};
use std::{
    env,
    fs,
    net::SocketAddr,
    path::PathBuf,
    process,
    time::{Duration, Instant}, //
};
use tokio::{
    sync::{Mutex, MutexGuard},
    time::sleep, //
};

/// The limits of the programs, and of the requests' bodies.
#[derive(Clone, Copy, Debug)]
pub(super) struct Limits {
    pub(super) body: usize,
    pub(super) descriptors: usize,
    pub(super) gateway_mb: usize,
    pub(super) runner_mb: usize,
}

/// The limits under which the crowds stand.
pub(super) const SMALL: Limits = Limits {
    body: 8 * 1024 * 1024,
    descriptors: 1_024,
    gateway_mb: 64,
    runner_mb: 64,
};

/// The smallest machines of the users' deployments, with their largest bodies.
pub(super) const SMALLEST_MACHINES: Limits = Limits {
    body: 32 * 1024 * 1024,
    descriptors: 8_200,
    gateway_mb: 130,
    runner_mb: 192,
};

/// How long an ordinary caller tries, with a new connection each time.
const PATIENCE: Duration = Duration::from_secs(60);

/// How long an ordinary caller waits for one answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(12);

/// The pause before an ordinary caller tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The site and its processes.
pub(super) struct Stage {
    pub(super) callers: SocketAddr,
    _engine: Engine,
    folder: PathBuf,
    pub(super) gateway: Program,
    limits: Limits,
    pub(super) metrics: SocketAddr,
    pub(super) plain: PlainServer,
    pub(super) ready: SocketAddr,
    pub(super) runner: Program,
    pub(super) store: Store,
    _turn: MutexGuard<'static, ()>,
}

/// One stage stands at a time.
static TURN: Mutex<()> = Mutex::const_new(());

/// Waits until no other test measures processes.
pub(super) async fn turn() -> MutexGuard<'static, ()> {
    TURN.lock().await
}

impl Stage {
    /// Starts the site; returns once an ordinary request was answered.
    pub(super) async fn open(limits: Limits) -> Self {
        let turn = turn().await;
        let folder = folder();
        let store = Store::open().await.expect("store");
        let engine = Engine::open("engine-0", "m0").await.expect("engine");
        let plain = PlainServer::open("plain-0").await.expect("server");
        announce_engine(&store, &engine, "ready");
        let entry = server_entry("plain", plain.address, "ready");
        store.put("servers", &plain.id, Some(&entry));
        store.put("op", "config", Some(&config(limits.body)));
        let (callers, ready, metrics) = (free_port(), free_port(), free_port());
        let listen = format!("  callers: \"{callers}\"\n  ready: \"{ready}\"\n");
        let common = |name: &str, metrics: SocketAddr, memory_mb: usize, listen: &str| {
            let (descriptors, peers) = (limits.descriptors, free_port());
            format!(
                "instance: {name}\ndata_centre: north\nstore: \"{}\"\ngrace_s: 6\nretention_s: 60\n\
                 limits: {{memory_mb: {memory_mb}, descriptors: {descriptors}}}\n\
                 listen:\n  metrics: \"{metrics}\"\n  peers: \"{peers}\"\n{listen}",
                store.address
            )
        };
        let gateway = common("gateway-0", metrics, limits.gateway_mb, &listen);
        let engine_address = engine.address;
        let runner = common("runner-0", free_port(), limits.runner_mb, "")
            + &format!("engine:\n  address: \"{engine_address}\"\n  service: engines\n");
        let stage = Self {
            callers,
            _engine: engine,
            gateway: Program::start(&folder, "gateway", &[], &gateway),
            runner: Program::start(&folder, "runner", &[], &runner),
            folder,
            limits,
            metrics,
            plain,
            ready,
            store,
            _turn: turn,
        };
        stage.wait_answered("first").await;
        stage
    }

    /// Sends a request on a connection of its own; `None` without a whole answer.
    pub(super) async fn send(
        &self,
        method: Method,
        path: &str,
        id: &str,
        body: impl Into<bytes::Bytes>,
    ) -> Option<FullResponse> {
        let headers = [("host", "site.example"), ("x-attempt-id", id)];
        let client = Client::default();
        let call = client.call(method, self.callers, path, &headers, body, ANSWER_TIMEOUT);
        call.await.ok()
    }

    /// Waits until an ordinary call is answered, which tries again as callers do.
    pub(super) async fn wait_answered(&self, id: &str) {
        let started = Instant::now();
        let mut statuses = Vec::new();
        while started.elapsed() < PATIENCE {
            let id = format!("{id}-{}", statuses.len());
            let answer = self.send(Method::POST, "/safe/x", &id, "hello").await;
            let status = answer.map(|answer| answer.status.as_u16());
            statuses.push(status);
            if status == Some(200) {
                return;
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("no ordinary call was answered: {statuses:?}");
    }

    /// Waits until an ordinary batch is delivered whole.
    pub(super) async fn wait_delivered(&self, id: &str) {
        let batch = Batch::new(id, 2, 2, 2);
        let path = format!("/roll/{id}");
        let started = Instant::now();
        let mut seen = String::new();
        while started.elapsed() < PATIENCE {
            let answer = self.send(Method::POST, &path, id, batch.body()).await;
            let results = format!("/redwingpond/lots/{id}?startAfter=0");
            let page = match answer.map(|answer| answer.status.as_u16()) {
                Some(202) => self.send(Method::GET, &results, id, "").await,
                status => {
                    seen = format!("submission answered {status:?}");
                    None
                }
            };
            if let Some(page) = page {
                let found = page.json()["results"].as_array().map_or(0, Vec::len);
                seen = format!("{} with {found} results", page.status);
                if found == batch.item_ids().len() {
                    return;
                }
            }
            sleep(RETRY_PAUSE).await;
        }
        panic!("the ordinary batch was not delivered: {seen}");
    }

    /// Checks both processes against their limits.
    pub(super) fn check(&mut self) {
        let limits = self.limits;
        self.gateway.check(limits.gateway_mb, limits.descriptors);
        self.runner.check(limits.runner_mb, limits.descriptors);
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.folder.display());
        } else {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A new folder for settings and logs.
pub(super) fn folder() -> PathBuf {
    let name = format!("redwing-clients-{}-{}", process::id(), free_port().port());
    let folder = env::temp_dir().join(name);
    fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}

/// A configuration with a route of each kind, whose calls may take 20 s.
fn config(body: usize) -> serde_json::Value {
    let route = |name: &str, kind: &str, service: &str| {
        serde_json::json!({
            "name": name, "host": "site.example", "pathPrefix": format!("/{name}/"),
            "routeType": kind, "timeoutMs": 20_000, "targetLatencyMs": 200,
            "resultDeadlineMs": 60_000, "itemTtlS": 60, "priority": 1, "maxAttempts": 3,
            "service": service,
        })
    };
    serde_json::json!({
        "version": 3,
        "routes": [
            route("roll", "rollout", "engines"),
            route("safe", "safe", "plain"),
            route("flow", "streaming", "plain"),
            route("score", "safe", "plain"),
        ],
        "services": [
            {"name": "engines", "healthCheckPath": "/healthz", "maxConnections": 100,
             "engine": {"batchSlots": 4, "models": [{"name": "m0"}]}},
            {"name": "plain", "healthCheckPath": "/healthz", "maxConnections": 100},
        ],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": body,
                   "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    })
}
