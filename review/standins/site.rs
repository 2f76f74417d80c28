//! A small deployment: gateways, runners beside model samplers, plain samplers, the store, and
//! a trainer that uses them.

use crate::{
    base64,
    http::{self, Message},
    json::{self, Json},
    process::{self, Folder, Gateway, Process},
    record::Record,
    server::{Engine, EngineOptions, Plain, PlainOptions, Runs},
    store::Store,
};
use std::{
    io, thread,
    time::{Duration, Instant},
};

pub const HOST: &str = "ficu95.example";
pub const MODEL: &str = "daka510000";
pub const ENGINES: &str = "huvo11a";
const LEDGER: &str = "wuno96b";

/// What a script's deployment is like.
pub struct Options {
    pub engines: usize,
    pub engine: EngineOptions,
    pub gateways: usize,
    /// `itemTtlS` of the trainers' route.
    pub item_ttl_s: u64,
    pub plain: usize,
    pub plain_server: PlainOptions,
    pub single_version: bool,
}

pub struct Site {
    pub gateways: Vec<Gateway>,
    pub plain: Vec<Plain>,
    pub processes: Vec<Process>,
    pub record: Record,
    /// The runs of items so far.
    pub runs: Runs,
    pub store: Store,
    pub engines: Vec<Engine>,
    // Last, so that the processes end before their folder is removed.
    _folder: Folder,
}

/// How long the processes may take until they are ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

impl Site {
    /// Starts everything; an error if a gateway doesn't become ready.
    pub fn open(options: &Options, record: &Record) -> io::Result<Self> {
        let folder = Folder::open()?;
        let store = Store::open()?;
        store.put("op", "config", &config(options));
        let runs = Runs::default();
        let mut engines = Vec::new();
        for number in 0..options.engines {
            let name = format!("i-{number}e");
            let engine = Engine::open(&name, MODEL, options.engine, record, &runs)?;
            engine.announce(&store, ENGINES);
            engines.push(engine);
        }
        let mut plain = Vec::new();
        for number in 0..options.plain {
            let id = format!("i-ledger{number}");
            let server = Plain::open(&id, options.plain_server, record)?;
            server.announce(&store, LEDGER);
            plain.push(server);
        }
        let mut gateways = Vec::new();
        for number in 0..options.gateways {
            let name = format!("edge-hall-{}", number + 1);
            gateways.push(process::start_gateway(&folder.0, &name, store.address)?);
        }
        let mut processes = Vec::new();
        for (number, engine) in engines.iter().enumerate() {
            let name = format!("side-hall-{}", number + 1);
            let address = engine.address;
            let runner = process::start_runner(&folder.0, &name, store.address, address, ENGINES)?;
            processes.push(runner);
        }
        let started = Instant::now();
        while !gateways.iter().all(process::is_ready) {
            if started.elapsed() > START_TIMEOUT {
                return Err(io::Error::other("a gateway did not become ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        // The runners write their first heartbeats meanwhile.
        thread::sleep(Duration::from_millis(1_500));
        record.line("all processes run");
        Ok(Self {
            gateways,
            plain,
            processes,
            record: record.clone(),
            runs,
            store,
            engines,
            _folder: folder,
        })
    }

    /// An error if one of the programs has ended by itself.
    pub fn check_running(&mut self) -> io::Result<()> {
        let gateways = self.gateways.iter_mut().map(|gateway| &mut gateway.process);
        for process in gateways.chain(&mut self.processes) {
            if !process.is_running() {
                return Err(io::Error::other(format!("{} has ended", process.name)));
            }
        }
        Ok(())
    }

    /// Names a version of the model, as a trainer does.
    pub fn name_version(&self, version: u64) {
        let named = json::table([
            ("model", json::text(MODEL)),
            ("version", json::number(version)),
        ]);
        self.store.put("op", &format!("version/{MODEL}"), &named);
        self.record
            .line(&format!("trainer: names version {version}"));
    }
}

fn config(options: &Options) -> Json {
    let route = |name: &str, prefix: &str, kind: &str, timeout: u64, service: &str| {
        vec![
            ("name", json::text(name)),
            ("host", json::text(HOST)),
            ("pathPrefix", json::text(prefix)),
            ("routeType", json::text(kind)),
            ("timeoutMs", json::number(timeout)),
            ("targetLatencyMs", json::number(400)),
            ("priority", json::number(2)),
            ("service", json::text(service)),
            ("maxAttempts", json::number(3)),
        ]
    };
    let mut rollout = route("r-train", "/pule252/", "rollout", 10_000, ENGINES);
    rollout.push(("resultDeadlineMs", json::number(7_500)));
    rollout.push(("itemTtlS", json::number(options.item_ttl_s)));
    rollout.push(("resumable", Json::Bool(true)));
    rollout.push(("sessionAffinity", Json::Bool(true)));
    rollout.push(("singleVersion", Json::Bool(options.single_version)));
    let routes = [
        rollout,
        route("r-score", "/pufi791/", "safe", 2_000, LEDGER),
        route("r-entry", "/lohu930/", "unsafe", 1_500, LEDGER),
    ];
    let routes = routes.map(|fields| {
        let fields = fields.into_iter();
        Json::Table(fields.map(|(key, value)| (key.to_owned(), value)).collect())
    });
    let service = |name: &str, most: u64| {
        vec![
            ("name".to_owned(), json::text(name)),
            ("healthCheckPath".to_owned(), json::text("/healthz")),
            ("maxConnections".to_owned(), json::number(most)),
            ("protocol".to_owned(), json::text("h1")),
            ("tls".to_owned(), Json::Bool(false)),
        ]
    };
    let mut engines = service(ENGINES, 150);
    let models = json::list([json::table([("name", json::text(MODEL))])]);
    let slots = json::number(options.engine.slots as u64);
    let engine = json::table([("batchSlots", slots), ("models", models)]);
    engines.push(("engine".to_owned(), engine));
    json::table([
        ("version", json::number(7)),
        ("routes", json::list(routes)),
        (
            "services",
            json::list([Json::Table(engines), Json::Table(service(LEDGER, 96))]),
        ),
        (
            "limits",
            json::table([
                ("maxHeaderBytes", json::number(16_384)),
                ("maxBodyBytes", json::number(33_554_432)),
                ("headerTimeoutMs", json::number(3_000)),
                ("idleTimeoutMs", json::number(15_000)),
            ]),
        ),
    ])
}

/// An item of a batch submission, and the number of its events.
#[derive(Clone, Debug)]
pub struct Item {
    pub id: String,
    pub events: u64,
}

/// A batch submission.
pub struct Batch {
    pub id: String,
    pub step: u64,
    pub groups: Vec<Vec<Item>>,
    /// How many groups the trainer waits for.
    pub group_target: usize,
    pub min_version: u64,
}

/// One entry of a batch's results.
#[derive(Clone, Debug)]
pub struct ItemResult {
    pub id: String,
    pub is_succeeded: bool,
    pub text: String,
    pub versions: Vec<u64>,
}

impl Batch {
    /// A batch of new items, given the number of events of each by group. The trainer waits
    /// for all groups. The items' ids are hexadecimal like those of the pages.
    pub fn new(id: &str, step: u64, min_version: u64, groups: &[Vec<u64>]) -> Self {
        let group = |(group, events): (usize, &Vec<u64>)| {
            let events = events.iter().enumerate();
            let item = |(index, events): (usize, &u64)| Item {
                id: format!("{id}{group:02x}{index:02x}"),
                events: *events,
            };
            events.map(item).collect()
        };
        Self {
            id: id.to_owned(),
            step,
            groups: groups.iter().enumerate().map(group).collect(),
            group_target: groups.len(),
            min_version,
        }
    }

    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.groups.iter().flatten()
    }

    /// The number of its items.
    pub fn count(&self) -> usize {
        self.items().count()
    }

    /// The whole output of the item with this id.
    pub fn whole_text(&self, id: &str) -> String {
        let item = self.items().find(|item| item.id == id);
        let events = 1..=item.map_or(0, |item| item.events);
        let events = events.map(|event| format!("{id} event {event}"));
        events.collect::<Vec<_>>().join("\n")
    }

    fn body(&self) -> Json {
        let mut items = Vec::new();
        for (group, members) in self.groups.iter().enumerate() {
            for Item { id, events } in members {
                let usage = format!("16,{}", events * 42);
                let prefix = format!("{group:02x}aa:300,{id}:16");
                let headers = json::table([
                    ("X-Model", json::text(MODEL)),
                    ("X-Token-Usage", json::text(usage)),
                    ("X-Prompt-Prefix", json::text(prefix)),
                    ("X-Length-Hint", json::text((events * 42).to_string())),
                ]);
                let scorer = json::table([
                    ("id", json::text(format!("5c{id}"))),
                    ("host", json::text(HOST)),
                    ("path", json::text(format!("/pufi791/{id}"))),
                    ("body", json::text(base64::encode(id.as_bytes()))),
                ]);
                items.push(json::table([
                    ("id", json::text(id.as_str())),
                    ("path", json::text(format!("/pule252/3/{id}"))),
                    ("headers", headers),
                    (
                        "body",
                        json::text(base64::encode(events.to_string().as_bytes())),
                    ),
                    ("tokens", json::number(16 + events * 42)),
                    ("group", json::text(format!("g{group}"))),
                    ("scorer", scorer),
                ]));
            }
        }
        json::table([
            ("step", json::number(self.step)),
            ("model", json::text(MODEL)),
            ("minVersion", json::number(self.min_version)),
            ("groupTarget", json::number(self.group_target as u64)),
            ("items", json::list(items)),
        ])
    }

    /// Submits the batch until it gets a 202, at one gateway after the other.
    pub fn submit(&self, site: &Site) -> io::Result<()> {
        let body = self.body().to_string();
        let path = format!("/pule252/{}", self.id);
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", self.id.as_str()),
            ("Content-Type", "application/json"),
        ];
        for attempt in 0..20 {
            let gateway = &site.gateways[attempt % site.gateways.len()];
            let timeout = Duration::from_secs(4);
            let answer = http::call(
                gateway.callers,
                "POST",
                &path,
                &headers,
                body.as_bytes(),
                timeout,
            );
            let status = answer.map_or(0, |answer| answer.status);
            let (id, items) = (&self.id, self.count());
            let line = format!("trainer: batch {id} of {items} items answered {status}");
            site.record.line(&line);
            if status == 202 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(300));
        }
        Err(io::Error::other("no gateway accepted the batch"))
    }

    /// Reads results from position `from` on; `None` without an answer of 200.
    pub fn read(
        &self,
        site: &Site,
        gateway: usize,
        from: usize,
    ) -> Option<(usize, Vec<ItemResult>)> {
        let path = format!("/redwingpond/lots/{}?startAfter={from}", self.id);
        let headers = [("Host", HOST), ("X-Wait-Ms", "1000")];
        let gateway = &site.gateways[gateway % site.gateways.len()];
        let timeout = Duration::from_millis(2_500);
        let answer = http::call(gateway.callers, "GET", &path, &headers, b"", timeout);
        let answer: Message = answer.ok().filter(|answer| answer.status == 200)?;
        let page = Json::parse(&answer.body)?;
        let results = page.get("results").list().iter().map(|result| ItemResult {
            id: result.get("id").text().to_owned(),
            is_succeeded: result.get("state").text() == "succeeded",
            text: result.get("text").text().to_owned(),
            versions: result
                .get("versions")
                .list()
                .iter()
                .map(Json::number)
                .collect(),
        });
        Some((
            page.get("nextPageToken").number() as usize,
            results.collect(),
        ))
    }

    /// Reads results from the start until `count` items are listed or `until` has come;
    /// records each.
    pub fn read_all(&self, site: &Site, count: usize, until: Instant) -> Vec<ItemResult> {
        let mut results: Vec<ItemResult> = Vec::new();
        let mut gateway = 0;
        while Instant::now() < until && distinct(&results) < count {
            gateway += 1;
            match self.read(site, gateway, results.len()) {
                Some((next, more)) => {
                    for (place, result) in more.iter().enumerate() {
                        let position = results.len() + place;
                        let state = if result.is_succeeded {
                            "succeeded"
                        } else {
                            "terminated"
                        };
                        let (id, versions) = (&result.id, &result.versions);
                        site.record.line(&format!(
                            "trainer: position {position} of {}: {id} {state}, versions {versions:?}, {} bytes",
                            self.id,
                            result.text.len()
                        ));
                    }
                    results.extend(more);
                    debug_assert_eq!(next, results.len());
                }
                None => thread::sleep(Duration::from_millis(100)),
            }
            thread::sleep(Duration::from_millis(100));
        }
        results
    }

    /// Ends the batch.
    pub fn end(&self, site: &Site) {
        let path = format!("/redwingpond/lots/{}", self.id);
        let headers = [("Host", HOST)];
        let gateway = &site.gateways[0];
        let timeout = Duration::from_secs(3);
        let answer = http::call(gateway.callers, "DELETE", &path, &headers, b"", timeout);
        let status = answer.map_or(0, |answer| answer.status);
        site.record.line(&format!(
            "trainer: end of batch {} answered {status}",
            self.id
        ));
    }
}

/// The number of different items among `results`.
fn distinct(results: &[ItemResult]) -> usize {
    let mut ids: Vec<&str> = results.iter().map(|result| result.id.as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    ids.len()
}
