//! One soak from its start to its verdict.

use super::{
    callers::Callers,
    fault::{ENGINES, Fault, GATEWAYS, PLAIN, draw},
    process::Process,
    trainer::Submitted, //
};
use crate::{
    client::Client,
    site::{
        Batch,
        Engine,
        EngineFaults,
        Plain,
        PlainFault,
        Store,
        StoreFaults,
        announce_engine,
        put_config,
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
    Start(usize),
}

/// The site and everything under way.
struct Soak {
    callers: Callers,
    client: Client,
    clock: Clock,
    engines: Vec<Engine>,
    later: Vec<(Millis, Later)>,
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

/// How long accepted batches may take once all faults are over.
const FINISH: Millis = Millis(30_000);

/// How long the processes have to come up before the first fault.
const UP: Duration = Duration::from_millis(1_500);

/// Runs the plan of `seed` for `length`, with its files in `folder`.
pub(super) async fn run(seed: u64, length: Millis, folder: &Path) -> io::Result<Verdict> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = draw(&mut rng, length);
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

/// Entries of another writer: key, service and state.
const STRANGERS: [(&str, &str, &str); 2] = [
    ("stranger-of-others", "others", "ready"),
    ("stranger-state", "engines", "resting"),
];

impl Soak {
    async fn open(rng: ChaCha8Rng, folder: &Path) -> io::Result<Self> {
        let store = Store::open().await?;
        let (mut engines, mut plain, mut processes) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..ENGINES {
            engines.push(Engine::open(&format!("engine-{number}"), "m0").await?);
        }
        for number in 0..PLAIN {
            plain.push(Plain::open(&format!("plain-{number}")).await?);
        }
        for number in 0..GATEWAYS {
            processes.push(Process::gateway(folder, number, store.address).await?);
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
        put_config(&store, 1, &serde_json::json!([]));
        Ok(Self {
            callers: Callers::default(),
            client: Client::default(),
            clock: Clock::open(),
            engines,
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
            Fault::CutStreams { engine, length } => {
                self.engines[engine].set_faults(EngineFaults {
                    cut_after: Some(3),
                    ..EngineFaults::default()
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
        for (_, what) in due {
            match what {
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

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::CutStreams { engine, .. } => {
                self.engines[engine].set_faults(EngineFaults::default());
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
            | Fault::Forget
            | Fault::Hangup { .. }
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
        let within = Duration::from_millis(300);
        if let Some(batch) = fresh.filter(|_| again || step.is_multiple_of(BATCH_STEPS)) {
            let submitting = batch.submit(client, gateway);
            submitting.await;
        }
        let reader = self.rng.random_range(0..self.submitted.len());
        let back = self.rng.random_range(0..4);
        let reading = self.submitted[reader].read(&self.client, gateway, back);
        // A paused gateway answers nobody; the soak goes on meanwhile.
        let _ = tokio::time::timeout(within, reading).await;
        let id = format!("c{seed}n{step}");
        let calling = self.callers.call(&self.client, gateway, id);
        let _ = tokio::time::timeout(within, calling).await;
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
                Later::Start(process) => {
                    self.later.push((Millis(0), Later::Start(process)));
                }
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
            open.read(&self.client, gateway, 2).await;
            tokio::time::sleep(STEP).await;
        }
        for number in 0..self.submitted.len() {
            let gateway = self.gateway();
            self.submitted[number]
                .read(&self.client, gateway, 1_000)
                .await;
        }
        Ok(())
    }

    fn verdict(&self, faults: usize) -> Verdict {
        let mut broken = self.callers.broken(&self.plain);
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
