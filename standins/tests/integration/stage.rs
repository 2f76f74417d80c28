//! The commands that the scenario files under `tests/scenarios` consist of.

use datadriven::TestCase;
use hyper::Method;
use redwing_standins::{
    balancer::Balancer,
    client::{Client, FullResponse},
    engine,
    fleet::{Backend, Fleet, Options, Plan},
    platform,
    relay::Silence,
    service, trainer,
};
use redwingpond::settings::read;
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU64},
    time::Duration,
};
use tokio::{runtime::Runtime, task::JoinHandle};

/// The timeout of a call whose scenario sets none.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The state of one scenario.
pub struct Stage {
    /// The answers so far, by the id that the scenario gave the call.
    answers: BTreeMap<String, Result<FullResponse, String>>,
    /// The calls in progress, by id.
    calls: HashMap<String, JoinHandle<Result<FullResponse, String>>>,
    client: Client,
    /// The entries' addresses for callers, in the order of their start.
    entries: Vec<SocketAddr>,
    fleet: Option<Fleet>,
    runtime: Runtime,
    /// The stops in progress of agents and entries; true if nothing was cut off.
    stops: Vec<JoinHandle<bool>>,
}

impl Stage {
    pub fn new() -> Self {
        Self {
            answers: BTreeMap::new(),
            calls: HashMap::new(),
            client: Client::default(),
            entries: Vec::new(),
            fleet: None,
            runtime: Runtime::new().unwrap(),
            stops: Vec::new(),
        }
    }

    /// Runs one command and returns its output, which the scenario compares.
    pub fn run(&mut self, case: &TestCase) -> String {
        let output = match case.directive.as_str() {
            "call" => self.call(case, false),
            "engine" => self.engine(case),
            "entry" => self.entry(case),
            "explain" => self.explain(case),
            "fleet" => self.open(case),
            "agent" => self.agent(case),
            "platform" => self.platform(case),
            "runs" => self.runs(case),
            "service" => self.service(case),
            "silence" => self.silence(case),
            "sleep" => sleep(case),
            "start" => self.call(case, true),
            "steps" => self.steps(case),
            "trainer" => self.trainer(case),
            "wait" => self.wait(case),
            other => panic!("unknown command `{other}`"),
        };
        format!("{}\n", output.trim_end())
    }

    fn fleet(&mut self) -> &mut Fleet {
        self.fleet.as_mut().expect("`fleet` comes first")
    }

    /// `fleet [services=N] [engines=N] [entries=N] [capacity=N] [service-ms=N]
    /// [checks-fence] [relayed]`: opens the fleet; comes first.
    fn open(&mut self, case: &TestCase) -> String {
        let services = number(case, "services", 1);
        let engines = number(case, "engines", 0);
        let capacity = number(case, "capacity", 8);
        let time = number(case, "service-ms", 0);
        let fenced = case.args.contains_key("checks-fence");
        let mut pools = format!(
            "  ledger: {{kind: service, servers: {services}, capacity: {capacity}, service_ms: {time}, queue: 32}}\n"
        );
        if engines > 0 {
            let models = format!(
                "  judge: {{kind: scorer, servers: 1, capacity: 64}}\n  models: {{kind: engine, servers: {engines}, capacity: 8, checks_fence: {fenced}}}\n"
            );
            pools.push_str(&models);
        }
        let plan = format!(
            "team: plant\ndata_centres: [hall]\npools:\n{pools}callers: {{}}\ntrainers: {{}}\n{SETTINGS}"
        );
        let plan = read("scenario", &plan, Plan::read).unwrap();
        let options = Options {
            entries: number(case, "entries", 1) as u32,
            relayed: case.args.contains_key("relayed"),
            ..Options::default()
        };
        let fleet = self
            .runtime
            .block_on(Fleet::open(&[plan], options))
            .unwrap();
        self.entries = fleet.entries.iter().map(|(_, one)| one.callers).collect();
        self.fleet = Some(fleet);
        "ready".into()
    }

    /// `call [id=X] [class=C] [entry=N] [key=K] [deadline=MS] [give-up-ms=MS] [chat]
    /// [idempotent]`: makes a call with the input as body and waits for the answer.
    /// `start`, with the same arguments, does not wait.
    fn call(&mut self, case: &TestCase, background: bool) -> String {
        let path = match case.args.contains_key("chat") {
            true => "/v1/app/plant/chat/v1/completions".to_owned(),
            false => format!("/v1/app/plant/{}/work", text(case, "class", "entry")),
        };
        let entry = self.entries[number(case, "entry", 0) as usize];
        let mut headers = vec![("content-type".to_owned(), "application/json".to_owned())];
        if let Some(key) = case.args.get("key") {
            headers.push(("redwing-request-key".into(), key[0].clone()));
            headers.push(("redwing-idempotent".into(), "false".into()));
        }
        if case.args.contains_key("idempotent") {
            headers.push(("redwing-idempotent".into(), "true".into()));
        }
        if let Some(deadline) = case.args.get("deadline") {
            headers.push(("redwing-deadline-ms".into(), deadline[0].clone()));
        }
        let give_up =
            Duration::from_millis(number(case, "give-up-ms", CALL_TIMEOUT.as_millis() as u64));
        let body = case.input.trim_end().to_owned();
        let client = self.client.clone();
        let call = async move {
            let headers: Vec<(&str, &str)> = headers
                .iter()
                .map(|(n, v)| (n.as_str(), v.as_str()))
                .collect();
            client
                .call(Method::POST, entry, &path, &headers, body, give_up)
                .await
        };
        let id = text(case, "id", "last");
        if background {
            let handle = self.runtime.spawn(call);
            self.calls.insert(id, handle);
            return "started".into();
        }
        let answer = self.runtime.block_on(call);
        self.record(id, answer)
    }

    /// `trainer post=PATH | delete=PATH`: makes a trainer's call with the input as
    /// body. In the path, dots stand for slashes.
    fn trainer(&mut self, case: &TestCase) -> String {
        let (method, path) = match case.args.get("delete") {
            Some(path) => (Method::DELETE, path),
            None => (Method::POST, &case.args["post"]),
        };
        let path = path[0].replace('.', "/");
        let path = format!("/v1/teams/plant/trainers/t/{path}");
        let body = case.input.trim_end().to_owned();
        let entry = self.entries[0];
        let call = self
            .client
            .call(method, entry, &path, &[], body, CALL_TIMEOUT);
        let answer = self.runtime.block_on(call);
        let Ok(good) = answer.as_ref().map_err(|_| ()) else {
            return describe(&answer);
        };
        if !good.status.is_success() {
            return describe(&answer);
        }
        let json = good.json();
        let members = ["cancelled", "new", "samples"].into_iter();
        let output = members.filter(|name| !json[*name].is_null());
        let output = output.map(|name| format!(" {name}={}", json[name]));
        format!("{}{}", good.status.as_u16(), output.collect::<String>())
    }

    /// `wait [id=X]`: waits for the answer of a started call. `wait stops`: waits until
    /// the agents and entries that were told to stop have ended.
    fn wait(&mut self, case: &TestCase) -> String {
        if case.args.contains_key("stops") {
            let stops = std::mem::take(&mut self.stops);
            let ends = stops
                .into_iter()
                .map(|stop| self.runtime.block_on(stop).unwrap());
            let ends: Vec<String> = ends.map(|uncut| format!("nothing cut: {uncut}")).collect();
            return ends.join("\n");
        }
        let id = text(case, "id", "last");
        let call = self.calls.remove(&id).expect("a call that was started");
        let answer = self.runtime.block_on(call).unwrap();
        self.record(id, answer)
    }

    /// Keeps an answer for `explain` and describes it.
    fn record(&mut self, id: String, answer: Result<FullResponse, String>) -> String {
        let output = describe(&answer);
        self.answers.insert(id, answer);
        output
    }

    /// `explain [id=X]`: what the entries explain of a call that was answered.
    fn explain(&mut self, case: &TestCase) -> String {
        let id = text(case, "id", "last");
        let answer = self.answers[&id].as_ref().expect("an answer");
        let request = answer.header("redwing-request-id").unwrap().to_owned();
        let admins: Vec<SocketAddr> = self.fleet().entries.iter().map(|(_, e)| e.admin).collect();
        let path = format!("/v1/explain/{request}");
        // The traffic duty learns of deliveries in batches, shortly after them.
        std::thread::sleep(Duration::from_millis(50));
        for admin in admins {
            let call = self
                .client
                .call(Method::GET, admin, &path, &[], "", CALL_TIMEOUT);
            let explanation = self.runtime.block_on(call).unwrap().json();
            if !explanation["entry"].is_null() {
                return format!(
                    "{}, delivered {}: {}",
                    explanation["verdict"], explanation["delivered"], explanation["why"]
                )
                .replace('"', "");
            }
        }
        "unknown".into()
    }

    /// `engine [number=N] crash=MS`: the engine is down for that time. `engine
    /// [number=N] [fail-swaps=N] [lose-orders=N] [mute] [paused]`: sets its faults;
    /// without any, it works normally.
    fn engine(&mut self, case: &TestCase) -> String {
        let at = number(case, "number", 0) as usize;
        let crash = case.args.get("crash").map(|v| v[0].parse().unwrap());
        let faults = engine::Faults {
            fail_swaps: number(case, "fail-swaps", 0) as u32,
            lose_orders: number(case, "lose-orders", 0) as u32,
            mute: case.args.contains_key("mute"),
            paused: case.args.contains_key("paused"),
            ..engine::Faults::default()
        };
        let runtime = self.runtime.handle().clone();
        let _entered = runtime.enter();
        let fleet = self.fleet();
        let engines = fleet.members.iter().filter_map(|one| match &one.backend {
            Backend::Engine(engine) => Some(engine),
            _ => None,
        });
        let engine = engines.collect::<Vec<_>>()[at];
        match crash {
            Some(down) => engine.crash(Duration::from_millis(down)),
            None => engine.set_faults(faults),
        }
        "done".into()
    }

    /// `service [number=N] [delay-ms=N] [lose-answers=N]`: sets the service's faults;
    /// without any, it works normally. `service [number=N] crash | back`: cuts the
    /// service off or brings it back.
    fn service(&mut self, case: &TestCase) -> String {
        let at = number(case, "number", 0) as usize;
        let fleet = self.fleet();
        let services = fleet.members.iter().filter_map(|one| match &one.backend {
            Backend::Service(service) => Some(service),
            _ => None,
        });
        let service = services.collect::<Vec<_>>()[at];
        if case.args.contains_key("crash") || case.args.contains_key("back") {
            service
                .switch()
                .send_replace(case.args.contains_key("back"));
            return "done".into();
        }
        service.set_faults(service::Faults {
            delay_ms: number(case, "delay-ms", 0),
            lose_answers: number(case, "lose-answers", 0) as u32,
        });
        "done".into()
    }

    /// `agent [number=N] stop | kill | start`
    fn agent(&mut self, case: &TestCase) -> String {
        let at = number(case, "number", 0) as usize;
        let Some(fleet) = self.fleet.as_mut() else {
            panic!("`fleet` comes first");
        };
        let options = fleet.options;
        let member = &mut fleet.members[at];
        if case.args.contains_key("kill") {
            self.runtime.block_on(member.kill());
        }
        if case.args.contains_key("stop") {
            let agent = member.agent.take().unwrap();
            self.runtime.block_on(agent.handle.drain_confirmed());
            self.stops.push(self.runtime.spawn(agent.handle.wait()));
        }
        if case.args.contains_key("start") {
            self.runtime
                .block_on(member.start(&fleet.platform, options))
                .unwrap();
        }
        "done".into()
    }

    /// `entry stop | kill`: the first entry that still runs.
    fn entry(&mut self, case: &TestCase) -> String {
        let fleet = self.fleet.as_mut().unwrap();
        if case.args.contains_key("stop") {
            let (name, entry) = fleet.entries.remove(0);
            fleet.balancer.remove(entry.callers);
            fleet.platform.remove_instance(&name);
            self.runtime.block_on(entry.handle.drain_confirmed());
            self.stops.push(self.runtime.spawn(entry.handle.wait()));
        }
        if case.args.contains_key("kill") {
            let (name, entry) = fleet.entries.remove(0);
            fleet.balancer.remove(entry.callers);
            fleet.platform.remove_instance(&name);
            drop(entry);
        }
        "done".into()
    }

    /// `platform [outage] [delay-ms=N] [lag-ms=N] [lose-answers=N]`: sets the
    /// platform's faults; without any, it works normally.
    fn platform(&mut self, case: &TestCase) -> String {
        let faults = platform::Faults {
            delay_ms: number(case, "delay-ms", 0),
            lag_ms: number(case, "lag-ms", 0),
            lose_answers: number(case, "lose-answers", 0) as u32,
            outage: case.args.contains_key("outage"),
        };
        self.fleet().platform.set_faults(faults);
        "done".into()
    }

    /// `silence to | from | both`: nothing passes on the present links any more, in
    /// these directions; new links work.
    fn silence(&mut self, case: &TestCase) -> String {
        let both = case.args.contains_key("both");
        let silence = Silence {
            from_target: both || case.args.contains_key("from"),
            to_target: both || case.args.contains_key("to"),
        };
        for member in &self.fleet().members {
            member
                .relay
                .as_ref()
                .expect("a relayed fleet")
                .silence(silence);
        }
        "done".into()
    }

    /// `runs key=K`: how often the services ran the call with this key.
    fn runs(&mut self, case: &TestCase) -> String {
        let key = text(case, "key", "");
        let fleet = self.fleet();
        let counts = fleet.members.iter().map(|one| match &one.backend {
            Backend::Service(service) => service.runs().keys.get(&key).copied().unwrap_or(0),
            _ => 0,
        });
        counts.sum::<u32>().to_string()
    }

    /// `steps [steps=N] [groups=N] [samples=N] [staleness=N] [trainer=NAME]
    /// [model=NAME] [entry=N]`: runs a trainer until all of its steps are done.
    fn steps(&mut self, case: &TestCase) -> String {
        let fleet = self.fleet.as_ref().unwrap();
        let balancer = match case.args.contains_key("entry") {
            true => Arc::new(Balancer::new(vec![
                self.entries[number(case, "entry", 0) as usize],
            ])),
            false => fleet.balancer.clone(),
        };
        let config = trainer::Config {
            balancer,
            groups: number(case, "groups", 4) as u32,
            max_tokens: 60,
            model: text(case, "model", "m"),
            name: text(case, "trainer", "t"),
            platform: fleet.platform.address,
            prompts: vec!["Judge.".into()],
            samples: number(case, "samples", 4) as u32,
            seed: 1,
            max_staleness: number(case, "staleness", 1),
            steps: number(case, "steps", 2),
            team: "plant".into(),
            train_time: Duration::from_millis(50),
        };
        let progress = Arc::new(AtomicU64::new(0));
        let report = self.runtime.block_on(trainer::run(&config, &progress));
        format!(
            "{} of {} delivered, every promise held: {}",
            report.delivered,
            report.asked,
            report.passed()
        )
    }
}

/// The shared settings of every fleet.
const SETTINGS: &str = "
settings:
  pools/ledger: |
    kind: service
  pools/judge: |
    kind: service
  pools/models: |
    kind: engine
  teams/plant: |
    classes:
      chat: {pool: models, deadline_ms: 10000}
      entry: {pool: ledger, deadline_ms: 5000}
      narrow: {pool: ledger, limit: 1}
      nowhere: {pool: missing}
      stock: {pool: ledger, internal: true}
    rollout: {pool: models, scorer: judge}
";

/// Describes an answer without the parts that differ from run to run.
fn describe(answer: &Result<FullResponse, String>) -> String {
    let Ok(answer) = answer else {
        return "no whole answer".into();
    };
    let json = answer.json();
    let status = answer.status.as_u16();
    if answer.status.is_success() {
        let body = json["body"].as_str().map(str::to_owned);
        let text = json["choices"][0]["text"].as_str();
        let spans = &json["redwing"]["weight_versions"];
        return match (body, text) {
            (Some(body), _) => format!("{status} {body}"),
            (None, Some(_)) => format!("{status} tokens {spans}"),
            (None, None) => format!("{status} {} bytes", answer.body.len()),
        };
    }
    let kind = json["type"].as_str().unwrap_or("?");
    let kind = kind.trim_start_matches("urn:redwing:problem:");
    format!("{status} {kind} may_have_run={}", json["may_have_run"])
}

/// `sleep ms=N`
fn sleep(case: &TestCase) -> String {
    std::thread::sleep(Duration::from_millis(number(case, "ms", 0)));
    "done".into()
}

/// The numeric argument `name` of a command, or `default`.
fn number(case: &TestCase, name: &str, default: u64) -> u64 {
    let value = case.args.get(name).and_then(|values| values.first());
    value.map_or(default, |value| value.parse().unwrap())
}

/// The text argument `name` of a command, or `default`.
fn text(case: &TestCase, name: &str, default: &str) -> String {
    let value = case.args.get(name).and_then(|values| values.first());
    value.cloned().unwrap_or_else(|| default.to_owned())
}
