//! One soak from its start to its verdict.

use super::{
    callers::{Callers, FATAL, Identity},
    fault::{ENGINES, Fault, GATEWAYS, PLAIN, draw, draw_duties},
    keys::{Keys, WORKSPACES},
    process::Process,
    trainer::Submitted, //
};
use crate::{
    client::Client,
    site::{
        Batch,
        Cloud,
        CloudFault,
        Engine,
        EngineFaults,
        Plain,
        PlainFault,
        Store,
        StoreFaults,
        announce_engine,
        server_entry, //
    },
};
use rand::{
    Rng,
    SeedableRng, //
};
use rand_chacha::ChaCha8Rng;
use redwingpond::base::{
    Clock,
    Millis, //
};
use rustix::process::Signal;
use std::{
    io,
    net::SocketAddr,
    path::Path,
    time::Duration, //
};

/// What a soak found.
#[derive(Debug, Default)]
pub(super) struct Verdict {
    pub(super) batches: usize,
    pub(super) broken: Vec<String>,
    pub(super) calls: (usize, usize),
    pub(super) faults: usize,
}

/// Something to be undone or done again later.
enum Later {
    Heal(Fault),
    ReviveEngine(usize),
    RevivePlain(usize),
    Start(usize),
}

/// The site and everything under way.
struct Soak {
    broken: Vec<String>,
    callers: Callers,
    client: Client,
    clock: Clock,
    cloud: Cloud,
    engines: Vec<Engine>,
    /// Until when the fatal call is made, and how often it was.
    fatal: (Millis, usize),
    keys: Keys,
    later: Vec<(Millis, Later)>,
    /// The present life of each plain server.
    lives: Vec<String>,
    plain: Vec<Plain>,
    processes: Vec<Process>,
    rng: ChaCha8Rng,
    store: Store,
    submitted: Vec<Submitted>,
    version: u64,
}

/// The step of the soak's loop; each makes a call and reads a batch.
const STEP: Duration = Duration::from_millis(25);

/// A batch every so many steps, and a weight version.
const BATCH_STEPS: usize = 24;
const VERSION_STEPS: usize = 90;

/// Every so many steps a caller shows a key that was taken away.
const REMOVED_STEPS: usize = 7;

/// How long accepted batches may take once all faults are over.
const FINISH: Millis = Millis(30_000);

/// How long the processes have to come up before the first fault.
const UP: Duration = Duration::from_millis(1_500);

/// Runs the plan of `seed` for `length`, with its files in `folder`.
pub(super) async fn run(seed: u64, length: Millis, folder: &Path) -> io::Result<Verdict> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = draw(&mut rng, length);
    let mut other = ChaCha8Rng::seed_from_u64(!seed);
    plan.extend(draw_duties(&mut other, length));
    plan.sort_by_key(|(at, _)| *at);
    let mut soak = Soak::open(rng, folder).await?;
    tokio::time::sleep(UP).await;

    let began = soak.clock.now();
    let mut next = 0;
    let mut step = 0;
    while soak.clock.now().since(began) < length {
        while next < plan.len() && soak.clock.now().since(began) >= plan[next].0 {
            soak.strike(plan[next].1);
            next += 1;
        }
        soak.tend()?;
        soak.work(seed, step).await;
        step += 1;
        tokio::time::sleep(STEP).await;
    }
    soak.finish().await?;
    Ok(soak.verdict(next))
}

/// How long a server is down that ended under a request.
const AGAIN: Millis = Millis(700);

/// The servers that may end under one request.
const ENDED_MOST: usize = 3;

/// How often a request in quarantine may be tried within 10 minutes.
const TRIALS_MOST: usize = 1;

/// The events of an item that ends its engine; others have fewer.
const FATAL_EVENTS: u64 = 41;

/// How soon all gateways have to know of a crash.
const KNOWN_WITHIN: Duration = Duration::from_secs(3);

/// How an engine behaves when nothing goes wrong there.
fn usual_engine() -> EngineFaults {
    EngineFaults {
        fatal: Some(FATAL_EVENTS.to_string()),
        ..EngineFaults::default()
    }
}

/// Entries of another writer: key, service and state.
const STRANGERS: [(&str, &str, &str); 2] = [
    ("stranger-of-others", "others", "ready"),
    ("stranger-state", "engines", "resting"),
];

impl Soak {
    async fn open(rng: ChaCha8Rng, folder: &Path) -> io::Result<Self> {
        let store = Store::open().await?;
        let cloud = Cloud::open().await?;
        let (mut engines, mut plain, mut processes) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..ENGINES {
            let engine = Engine::open(&format!("engine-{number}"), "m0").await?;
            engine.set_faults(usual_engine());
            engines.push(engine);
        }
        for number in 0..PLAIN {
            let server = Plain::open(&format!("plain-{number}")).await?;
            server.set_fatal(FATAL);
            plain.push(server);
        }
        for number in 0..GATEWAYS {
            processes.push(Process::gateway(folder, number, store.address, cloud.address).await?);
        }
        for (number, engine) in engines.iter().enumerate() {
            let runner = Process::runner(folder, number, store.address, engine.address);
            processes.push(runner.await?);
        }
        for process in &mut processes {
            process.start()?;
        }
        for engine in &engines {
            announce_engine(&store, engine, "ready");
        }
        for server in &plain {
            let entry = server_entry("plain", server.address, "ready");
            store.put("servers", &server.id, Some(&entry));
        }
        let keys = Keys::open(&store);
        Ok(Self {
            cloud,
            keys,
            broken: Vec::new(),
            lives: plain.iter().map(|server| server.id.clone()).collect(),
            callers: Callers::default(),
            client: Client::default(),
            clock: Clock::open(),
            engines,
            fatal: (Millis(0), 0),
            later: Vec::new(),
            plain,
            processes,
            rng,
            store,
            submitted: Vec::new(),
            version: 1,
        })
    }

    fn strike(&mut self, fault: Fault) {
        let now = self.clock.now();
        match fault {
            Fault::Cloud {
                fault: cloud,
                length,
            } => {
                self.cloud.set_fault(cloud);
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::Keys { workspace } => self.keys.change(&self.store, workspace, now),
            Fault::CutStreams { engine, length } => {
                self.engines[engine].set_faults(EngineFaults {
                    cut_after: Some(3),
                    ..usual_engine()
                });
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::EngineDown { engine, length } => {
                self.engines[engine].switch().send_replace(false);
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::EngineAgain { engine } => {
                let engine = &self.engines[engine];
                engine.restart(&engine.id, "m0");
                announce_engine(&self.store, engine, "ready");
            }
            Fault::FatalCalls { length } => self.fatal.0 = now + length,
            Fault::FatalItem => self.submit_fatal(),
            Fault::Forget => self.store.forget_history(),
            Fault::Hangup { process } => self.processes[process].signal(Signal::HUP),
            Fault::Kill { process, pause } => {
                self.processes[process].signal(Signal::KILL);
                self.later.push((now + pause, Later::Start(process)));
            }
            Fault::Pause { process, length } => {
                self.processes[process].signal(Signal::STOP);
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::Plain {
                fault: plain,
                length,
                server,
            } => {
                self.plain[server].set_fault(plain);
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::Silence { process, silence } => self.processes[process].relay.silence(silence),
            Fault::Store { faults, length } => {
                self.store.set_faults(faults);
                self.later.push((now + length, Later::Heal(fault)));
            }
            Fault::Stop { process } => {
                self.processes[process].signal(Signal::TERM);
                self.later.push((now, Later::Start(process)));
            }
            Fault::Stranger { engine, length } => {
                let address = self.engines[engine].address;
                for (key, service, state) in STRANGERS {
                    let entry = server_entry(service, address, state);
                    self.store.put("servers", key, Some(&entry));
                }
                self.store.put_raw("servers", "stranger", "%no base64%");
                self.later.push((now + length, Later::Heal(fault)));
            }
        }
    }

    /// Undoes what is over, and starts processes that have ended.
    fn tend(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        self.see_ended(now);
        for (_, what) in due {
            match what {
                Later::ReviveEngine(number) => {
                    let engine = &self.engines[number];
                    engine.restart(&engine.id, "m0");
                    engine.switch().send_replace(true);
                    announce_engine(&self.store, engine, "ready");
                }
                Later::RevivePlain(number) => self.revive_plain(number),
                Later::Heal(fault) => self.heal(fault),
                Later::Start(process) if self.processes[process].is_running() => {
                    // It is still stopping.
                    self.later.push((now, Later::Start(process)));
                }
                Later::Start(process) => self.processes[process].start()?,
            }
        }
        Ok(())
    }

    /// Has servers that ended under a request started again after a while.
    fn see_ended(&mut self, now: Millis) {
        let back = |later: &[(Millis, Later)], number| {
            let sees = |later: &Later| match later {
                Later::ReviveEngine(engine) | Later::Heal(Fault::EngineDown { engine, .. }) => {
                    *engine == number
                }
                _ => false,
            };
            later.iter().any(|(_, later)| sees(later))
        };
        for (number, engine) in self.engines.iter().enumerate() {
            if !*engine.switch().borrow() && !back(&self.later, number) {
                self.later.push((now + AGAIN, Later::ReviveEngine(number)));
            }
        }
        for (number, plain) in self.plain.iter().enumerate() {
            let sees = |(_, later): &(Millis, Later)| matches!(later, Later::RevivePlain(of) if *of == number);
            if !plain.is_up() && !self.later.iter().any(sees) {
                self.later.push((now + AGAIN, Later::RevivePlain(number)));
            }
        }
    }

    /// Starts a plain server again, as another life at its address.
    fn revive_plain(&mut self, number: usize) {
        let plain = &self.plain[number];
        self.store.put("servers", &self.lives[number], None);
        self.lives[number] = format!("{}-{}", plain.id, self.clock.now());
        plain.restart(&self.lives[number]);
        let entry = server_entry("plain", plain.address, "ready");
        self.store.put("servers", &self.lives[number], Some(&entry));
    }

    /// Hands in a batch with an item that ends its engines, beside others.
    fn submit_fatal(&mut self) {
        let id = format!("f{}", self.submitted.len());
        let mut batch = Batch::new(&id, 2, 3, 12);
        batch.groups[0][1] = FATAL_EVENTS;
        batch.least_version = self.version.saturating_sub(1).max(1);
        let fatal = batch.item(0, 1);
        let mut submitted = Submitted::new(batch);
        submitted.fatal = Some(fatal);
        self.submitted.push(submitted);
    }

    /// How often the fatal call ran.
    fn fatal_runs(&self) -> usize {
        let runs = self.plain.iter().map(|plain| plain.runs_under("fatal-"));
        runs.sum()
    }

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Cloud { .. } => self.cloud.set_fault(CloudFault::None),
            Fault::CutStreams { engine, .. } => {
                self.engines[engine].set_faults(usual_engine());
            }
            Fault::EngineDown { engine, .. } => {
                self.engines[engine].switch().send_replace(true);
            }
            Fault::Pause { process, .. } => self.processes[process].signal(Signal::CONT),
            Fault::Plain { server, .. } => self.plain[server].set_fault(PlainFault::None),
            Fault::Store { .. } => self.store.set_faults(StoreFaults::default()),
            Fault::Stranger { .. } => {
                let named = STRANGERS.iter().map(|(key, ..)| *key);
                for key in named.chain(["stranger"]) {
                    self.store.put("servers", key, None);
                }
            }
            Fault::EngineAgain { .. }
            | Fault::FatalCalls { .. }
            | Fault::FatalItem
            | Fault::Forget
            | Fault::Hangup { .. }
            | Fault::Keys { .. }
            | Fault::Kill { .. }
            | Fault::Silence { .. }
            | Fault::Stop { .. } => {}
        }
    }

    /// One step of the trainers and callers.
    async fn work(&mut self, seed: u64, step: usize) {
        if step % VERSION_STEPS == VERSION_STEPS - 1 {
            self.version += 1;
            let named = serde_json::json!({"model": "m0", "version": self.version});
            self.store.put("op", "version/m0", Some(&named));
        }
        if step.is_multiple_of(BATCH_STEPS) {
            let id = format!("s{seed}n{step}");
            let events = self.rng.random_range(1..40);
            let mut batch = Batch::new(&id, self.rng.random_range(1..6), 3, events);
            batch.least_version = self.version.saturating_sub(1).max(1);
            self.submitted.push(Submitted::new(batch));
        }
        let gateway = self.gateway();
        let fresh = self
            .submitted
            .iter_mut()
            .rev()
            .find(|batch| !batch.accepted);
        let (client, again) = (&self.client, self.rng.random_bool(0.3));
        let key = self.keys.current(0);
        let within = Duration::from_millis(300);
        if let Some(batch) = fresh.filter(|_| again || step.is_multiple_of(BATCH_STEPS)) {
            let submitting = batch.submit(client, gateway, key);
            submitting.await;
        }
        let reader = self.rng.random_range(0..self.submitted.len());
        let back = self.rng.random_range(0..4);
        let reading = self.submitted[reader].read(&self.client, gateway, key, back);
        // A paused gateway answers nobody; the soak goes on meanwhile.
        let _ = tokio::time::timeout(within, reading).await;
        if self.clock.now() < self.fatal.0 {
            self.fatal.1 += 1;
            let identity = self.identity(format!("fatal-{}", self.fatal.1), 1);
            let calling = Callers::call_fatal(&self.client, gateway, &identity);
            let _ = tokio::time::timeout(within, calling).await;
        }
        let mut identity = self.identity(format!("c{seed}n{step}"), step % WORKSPACES.len());
        let removed = self.keys.last_removed();
        if let Some(removed) = removed.filter(|_| step.is_multiple_of(REMOVED_STEPS)) {
            removed.clone_into(&mut identity.key);
        }
        let calling = self
            .callers
            .call(&self.client, gateway, identity, self.clock);
        let _ = tokio::time::timeout(within, calling).await;
    }

    fn identity(&self, id: String, workspace: usize) -> Identity {
        let key = self.keys.current(workspace).to_owned();
        Identity { id, key }
    }

    fn gateway(&mut self) -> SocketAddr {
        let number = self.rng.random_range(0..GATEWAYS);
        let callers = self.processes[number].callers;
        callers.unwrap_or(self.store.address)
    }

    /// Ends all faults and reads every accepted batch to its end.
    async fn finish(&mut self) -> io::Result<()> {
        for (_, what) in std::mem::take(&mut self.later) {
            match what {
                Later::Heal(fault) => self.heal(fault),
                later => self.later.push((Millis(0), later)),
            }
        }
        let until = self.clock.now() + FINISH;
        while self.clock.now() < until {
            self.tend()?;
            let gateway = self.gateway();
            let open = self.submitted.iter_mut().find(|batch| !batch.is_done());
            let Some(open) = open else {
                break;
            };
            open.read(&self.client, gateway, self.keys.current(0), 2)
                .await;
            tokio::time::sleep(STEP).await;
        }
        for number in 0..self.submitted.len() {
            let gateway = self.gateway();
            self.submitted[number]
                .read(&self.client, gateway, self.keys.current(0), 1_000)
                .await;
        }
        self.check_fatal().await
    }

    /// Once all is calm and known to all, a call under which three servers have
    /// ended reaches one more at most, for its trial, whichever gateway it comes to.
    async fn check_fatal(&mut self) -> io::Result<()> {
        self.tend()?;
        tokio::time::sleep(KNOWN_WITHIN).await;
        self.tend()?;
        let before = self.fatal_runs();
        if before < ENDED_MOST {
            return Ok(());
        }
        for process in 0..GATEWAYS {
            let callers = self.processes[process].callers;
            let gateway = callers.unwrap_or(self.store.address);
            let identity = self.identity(format!("fatal-last-{process}"), 1);
            Callers::call_fatal(&self.client, gateway, &identity).await;
        }
        let more = self.fatal_runs() - before;
        if more > TRIALS_MOST {
            let broken = format!("{more} servers ended under a call after {before} had");
            self.broken.push(broken);
        }
        Ok(())
    }

    fn verdict(&self, faults: usize) -> Verdict {
        let mut broken = self.callers.broken(&self.plain);
        broken.extend(self.broken.clone());
        broken.extend(self.callers.broken_keys(&self.plain, &self.keys));
        broken.extend(self.cloud.broken());
        for run in self.engines.iter().flat_map(Engine::runs) {
            if run.asker.key.is_some() || run.asker.workspace.as_deref() != Some(WORKSPACES[0]) {
                broken.push(format!("item {} ran as {:?}", run.item, run.asker));
            }
        }
        for batch in &self.submitted {
            broken.extend(batch.final_faults());
        }
        for engine in &self.engines {
            let orders = engine.orders();
            let falls =
                |pair: &[(String, u64, u64)]| pair[0].1 > pair[1].1 || pair[0].2 > pair[1].2;
            if orders.windows(2).any(falls) || orders.iter().any(|order| order.0 != orders[0].0) {
                broken.push(format!(
                    "engine {} had orders that fall: {orders:?}",
                    engine.id
                ));
            }
        }
        let accepted = self.submitted.iter().filter(|batch| batch.accepted);
        Verdict {
            batches: accepted.count(),
            broken,
            calls: self.callers.count(),
            faults,
        }
    }
}
