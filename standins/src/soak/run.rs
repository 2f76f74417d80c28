//! Runs one soak and reports what it found.

use super::{
    callers::{Callers, Credentials, FATAL_BODY},
    fault::{ENGINES, Fault, GATEWAYS, PLAIN, draw_faults, draw_key_and_usage_faults},
    keys::{Keys, SLOW_SERVICE, WORKSPACES},
    process::Process,
    reserved::ReservedCall,
    trainer::SubmittedBatch, //
};
use crate::{
    client::Client,
    site::{
        Batch,
        CollectorFault,
        Engine,
        EngineFaults,
        PlainFault,
        PlainServer,
        Store,
        StoreFaults,
        UsageCollector,
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

/// The result of a soak.
#[derive(Debug, Default)]
pub(super) struct SoakReport {
    /// The number of accepted batches.
    pub(super) batches: usize,
    /// A description of each violated guarantee.
    pub(super) violations: Vec<String>,
    /// The number of calls made, and of calls answered with 200.
    pub(super) calls: (usize, usize),
    /// The number of injected faults.
    pub(super) faults: usize,
}

/// An action that is due at a later time.
enum Deferred {
    EndFault(Fault),
    RestartEngine(usize),
    RestartPlain(usize),
    /// Starts the process again, once the previous one has exited.
    StartProcess(usize),
}

/// The running site and the state of the soak.
struct Soak {
    /// The starts of processes that were killed or paused, with their processes.
    disturbed: Vec<(usize, u32)>,
    /// Violations found so far, besides those that callers, batches and stand-ins record.
    violations: Vec<String>,
    callers: Callers,
    client: Client,
    clock: Clock,
    collector: UsageCollector,
    engines: Vec<Engine>,
    /// Until when calls that crash their servers are made, and how many were made.
    fatal_calls: (Millis, usize),
    keys: Keys,
    /// Actions with the times at which they are due.
    deferred: Vec<(Millis, Deferred)>,
    /// The current incarnation of each plain server.
    plain_incarnations: Vec<String>,
    plain: Vec<PlainServer>,
    /// Gateways first, then runners.
    processes: Vec<Process>,
    /// Calls during planned stops of gateways.
    reserved: Vec<ReservedCall>,
    /// Draws their times.
    reserved_rng: ChaCha8Rng,
    rng: ChaCha8Rng,
    /// The server of these calls.
    slow: PlainServer,
    store: Store,
    submitted: Vec<SubmittedBatch>,
    /// The newest named weight version.
    version: u64,
}

/// The pause between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(25);

/// How long the server of calls during planned stops takes: a call that comes late can't end in time.
const SLOW_TIME: Millis = Millis(800);

/// The seed of the times of calls during planned stops, which are the same in each soak.
const RESERVED_SEED: u64 = 68;

/// A batch is submitted every this many steps.
const STEPS_PER_BATCH: usize = 24;

/// A weight version is named every this many steps.
const STEPS_PER_VERSION: usize = 90;

/// A call uses a removed key every this many steps.
const STEPS_PER_REMOVED_KEY: usize = 7;

/// How long accepted batches may take to complete after all faults have ended.
const FINISH_TIMEOUT: Millis = Millis(30_000);

/// How long the processes have to start before the first fault.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Runs the faults drawn from `seed` for `duration`; writes settings and logs to `folder`.
pub(super) async fn run(seed: u64, duration: Millis, folder: &Path) -> io::Result<SoakReport> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = draw_faults(&mut rng, duration);
    let mut key_and_usage_rng = ChaCha8Rng::seed_from_u64(!seed);
    plan.extend(draw_key_and_usage_faults(&mut key_and_usage_rng, duration));
    plan.sort_by_key(|(at, _)| *at);
    let mut soak = Soak::open(rng, folder).await?;
    tokio::time::sleep(STARTUP_TIME).await;

    let began = soak.clock.now();
    let mut next = 0;
    let mut step = 0;
    while soak.clock.now().since(began) < duration {
        while next < plan.len() && soak.clock.now().since(began) >= plan[next].0 {
            soak.inject(plan[next].1);
            next += 1;
        }
        soak.run_deferred()?;
        soak.run_step(seed, step).await;
        step += 1;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    soak.finish().await?;
    Ok(soak.report(next))
}

/// How long a server stays down after a request has crashed it.
const RESTART_DELAY: Millis = Millis(700);

/// The number of crashes after which a request is quarantined.
const MAX_CRASHES: usize = 3;

/// The maximum number of trials of a quarantined request within 10 minutes.
const MAX_TRIALS: usize = 1;

/// An item with this number of events crashes its engine; other items have fewer events.
const FATAL_EVENTS: u64 = 41;

/// The time within which all gateways must learn of a crash.
const CRASH_SYNC_TIME: Duration = Duration::from_secs(3);

/// An engine's faults while none is injected: only fatal items crash it.
fn default_engine_faults() -> EngineFaults {
    EngineFaults {
        fatal_body: Some(FATAL_EVENTS.to_string()),
        ..EngineFaults::default()
    }
}

/// Announcements by another writer: key, service and state.
const FOREIGN_ENTRIES: [(&str, &str, &str); 2] = [
    ("stranger-of-others", "others", "ready"),
    ("stranger-state", "engines", "resting"),
];

impl Soak {
    /// Starts the site; its processes may not be ready yet.
    async fn open(rng: ChaCha8Rng, folder: &Path) -> io::Result<Self> {
        let store = Store::open().await?;
        let collector = UsageCollector::open().await?;
        let (mut engines, mut plain, mut processes) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..ENGINES {
            let engine = Engine::open(&format!("engine-{number}"), "m0").await?;
            engine.set_faults(default_engine_faults());
            engines.push(engine);
        }
        for number in 0..PLAIN {
            let server = PlainServer::open(&format!("plain-{number}")).await?;
            server.set_fatal_body(FATAL_BODY);
            plain.push(server);
        }
        for number in 0..GATEWAYS {
            processes
                .push(Process::gateway(folder, number, store.address, collector.address).await?);
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
        let slow = PlainServer::open("slow-0").await?;
        slow.set_service_time(SLOW_TIME);
        let entry = server_entry(SLOW_SERVICE, slow.address, "ready");
        store.put("servers", &slow.id, Some(&entry));
        let keys = Keys::open(&store);
        Ok(Self {
            collector,
            keys,
            disturbed: Vec::new(),
            violations: Vec::new(),
            plain_incarnations: plain.iter().map(|server| server.id.clone()).collect(),
            callers: Callers::default(),
            client: Client::default(),
            clock: Clock::open(),
            engines,
            fatal_calls: (Millis(0), 0),
            deferred: Vec::new(),
            plain,
            processes,
            reserved: Vec::new(),
            reserved_rng: ChaCha8Rng::seed_from_u64(RESERVED_SEED),
            rng,
            slow,
            store,
            submitted: Vec::new(),
            version: 1,
        })
    }

    /// Injects a fault and schedules its end.
    fn inject(&mut self, fault: Fault) {
        let now = self.clock.now();
        match fault {
            Fault::UsageCollector {
                fault: collector,
                duration,
            } => {
                self.collector.set_fault(collector);
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::RotateKey { workspace } => self.keys.rotate(&self.store, workspace, now),
            Fault::CutStreams { engine, duration } => {
                self.engines[engine].set_faults(EngineFaults {
                    cut_after: Some(3),
                    ..default_engine_faults()
                });
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::EngineDown { engine, duration } => {
                self.engines[engine].switch().send_replace(false);
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::EngineRestart { engine } => {
                let engine = &self.engines[engine];
                engine.restart(&engine.id, "m0");
                announce_engine(&self.store, engine, "ready");
            }
            Fault::FatalCalls { duration } => self.fatal_calls.0 = now + duration,
            Fault::FatalItem => self.create_fatal_batch(),
            Fault::ForgetHistory => self.store.forget_history(),
            Fault::Hangup { process } => self.processes[process].signal(Signal::HUP),
            Fault::Kill { process, pause } => {
                self.record_disturbance(process);
                self.processes[process].signal(Signal::KILL);
                self.deferred
                    .push((now + pause, Deferred::StartProcess(process)));
            }
            Fault::Pause { process, duration } => {
                self.record_disturbance(process);
                self.processes[process].signal(Signal::STOP);
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::PlainServer {
                fault: plain,
                duration,
                server,
            } => {
                self.plain[server].set_fault(plain);
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::Silence { process, silence } => self.processes[process].relay.silence(silence),
            Fault::Store { faults, duration } => {
                self.store.set_faults(faults);
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
            Fault::Stop { process } => {
                self.open_reserved(process);
                self.processes[process].signal(Signal::TERM);
                self.deferred.push((now, Deferred::StartProcess(process)));
            }
            Fault::ForeignEntries { engine, duration } => {
                let address = self.engines[engine].address;
                for (key, service, state) in FOREIGN_ENTRIES {
                    let entry = server_entry(service, address, state);
                    self.store.put("servers", key, Some(&entry));
                }
                self.store.put_raw("servers", "stranger", "%no base64%");
                self.deferred
                    .push((now + duration, Deferred::EndFault(fault)));
            }
        }
    }

    /// The present start of `process` is disturbed otherwise than by a planned stop.
    fn record_disturbance(&mut self, process: usize) {
        let starts = self.processes[process].starts;
        self.disturbed.push((process, starts));
    }

    /// Opens connections to a gateway that is about to be stopped.
    fn open_reserved(&mut self, process: usize) {
        let target = (process, self.processes[process].starts);
        if let Some(gateway) = self.processes[process].callers {
            let prefix = format!("reserved-{}", self.reserved.len());
            let key = self.keys.current(0).to_owned();
            let rng = &mut self.reserved_rng;
            let calls = ReservedCall::open(gateway, &key, &prefix, target, rng);
            self.reserved.extend(calls);
        }
    }

    /// Waits for the calls during planned stops. One that a server ran must have been answered,
    /// unless its gateway was disturbed.
    async fn check_reserved(&mut self) {
        for mut call in std::mem::take(&mut self.reserved) {
            let is_answered = call.is_answered().await;
            let runs = self.slow.runs_of(&call.id);
            let is_calm = !self.disturbed.contains(&call.target);
            if runs > 0 && !is_answered && is_calm {
                let violation = format!("call {} ran and was cut by a planned stop", call.id);
                self.violations.push(violation);
            }
        }
    }

    /// Executes the deferred actions that are due.
    fn run_deferred(&mut self) -> io::Result<()> {
        let now = self.clock.now();
        let (due, deferred): (Vec<_>, Vec<_>) = std::mem::take(&mut self.deferred)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.deferred = deferred;
        self.schedule_restarts(now);
        for (_, action) in due {
            match action {
                Deferred::RestartEngine(number) => {
                    let engine = &self.engines[number];
                    engine.restart(&engine.id, "m0");
                    engine.switch().send_replace(true);
                    announce_engine(&self.store, engine, "ready");
                }
                Deferred::RestartPlain(number) => self.restart_plain(number),
                Deferred::EndFault(fault) => self.end_fault(fault),
                Deferred::StartProcess(process) if self.processes[process].is_running() => {
                    // The process is still stopping.
                    self.deferred.push((now, Deferred::StartProcess(process)));
                }
                Deferred::StartProcess(process) => self.processes[process].start()?,
            }
        }
        Ok(())
    }

    /// Schedules a restart of each server that is down and has none scheduled.
    fn schedule_restarts(&mut self, now: Millis) {
        let is_scheduled = |deferred: &[(Millis, Deferred)], number| {
            let restarts = |deferred: &Deferred| match deferred {
                Deferred::RestartEngine(engine)
                | Deferred::EndFault(Fault::EngineDown { engine, .. }) => *engine == number,
                _ => false,
            };
            deferred.iter().any(|(_, deferred)| restarts(deferred))
        };
        for (number, engine) in self.engines.iter().enumerate() {
            if !*engine.switch().borrow() && !is_scheduled(&self.deferred, number) {
                self.deferred
                    .push((now + RESTART_DELAY, Deferred::RestartEngine(number)));
            }
        }
        for (number, plain) in self.plain.iter().enumerate() {
            let restarts = |(_, deferred): &(Millis, Deferred)| matches!(deferred, Deferred::RestartPlain(of) if *of == number);
            if !plain.is_up() && !self.deferred.iter().any(restarts) {
                self.deferred
                    .push((now + RESTART_DELAY, Deferred::RestartPlain(number)));
            }
        }
    }

    /// Restarts a plain server as a new incarnation at the same address.
    fn restart_plain(&mut self, number: usize) {
        let plain = &self.plain[number];
        self.store
            .put("servers", &self.plain_incarnations[number], None);
        self.plain_incarnations[number] = format!("{}-{}", plain.id, self.clock.now());
        plain.restart(&self.plain_incarnations[number]);
        let entry = server_entry("plain", plain.address, "ready");
        self.store
            .put("servers", &self.plain_incarnations[number], Some(&entry));
    }

    /// Creates a batch with an item that crashes its engines, beside normal ones. A later step
    /// submits it.
    fn create_fatal_batch(&mut self) {
        let id = format!("f{}", self.submitted.len());
        let mut batch = Batch::new(&id, 2, 3, 12);
        batch.groups[0][1] = FATAL_EVENTS;
        batch.least_version = self.version.saturating_sub(1).max(1);
        let fatal_item = batch.item_id(0, 1);
        let mut submitted = SubmittedBatch::new(batch);
        submitted.fatal_item = Some(fatal_item);
        self.submitted.push(submitted);
    }

    /// The number of runs of fatal calls.
    fn fatal_runs(&self) -> usize {
        let runs = self
            .plain
            .iter()
            .map(|plain| plain.runs_with_prefix("fatal-"));
        runs.sum()
    }

    /// Ends a fault; those without a duration need no action.
    fn end_fault(&mut self, fault: Fault) {
        match fault {
            Fault::UsageCollector { .. } => self.collector.set_fault(CollectorFault::None),
            Fault::CutStreams { engine, .. } => {
                self.engines[engine].set_faults(default_engine_faults());
            }
            Fault::EngineDown { engine, .. } => {
                self.engines[engine].switch().send_replace(true);
            }
            Fault::Pause { process, .. } => self.processes[process].signal(Signal::CONT),
            Fault::PlainServer { server, .. } => self.plain[server].set_fault(PlainFault::None),
            Fault::Store { .. } => self.store.set_faults(StoreFaults::default()),
            Fault::ForeignEntries { .. } => {
                let named = FOREIGN_ENTRIES.iter().map(|(key, ..)| *key);
                for key in named.chain(["stranger"]) {
                    self.store.put("servers", key, None);
                }
            }
            Fault::EngineRestart { .. }
            | Fault::FatalCalls { .. }
            | Fault::FatalItem
            | Fault::ForgetHistory
            | Fault::Hangup { .. }
            | Fault::RotateKey { .. }
            | Fault::Kill { .. }
            | Fault::Silence { .. }
            | Fault::Stop { .. } => {}
        }
    }

    /// Acts as trainer and caller for one step: names a weight version and submits a batch if
    /// one is due, reads a batch, and makes calls.
    async fn run_step(&mut self, seed: u64, step: usize) {
        if step % STEPS_PER_VERSION == STEPS_PER_VERSION - 1 {
            self.version += 1;
            let named = serde_json::json!({"model": "m0", "version": self.version});
            self.store.put("op", "version/m0", Some(&named));
        }
        if step.is_multiple_of(STEPS_PER_BATCH) {
            let id = format!("s{seed}n{step}");
            let events = self.rng.random_range(1..40);
            let mut batch = Batch::new(&id, self.rng.random_range(1..6), 3, events);
            batch.least_version = self.version.saturating_sub(1).max(1);
            self.submitted.push(SubmittedBatch::new(batch));
        }
        let gateway = self.gateway();
        let unaccepted = self
            .submitted
            .iter_mut()
            .rev()
            .find(|batch| !batch.accepted);
        let (client, resubmit) = (&self.client, self.rng.random_bool(0.3));
        let key = self.keys.current(0);
        let timeout = Duration::from_millis(300);
        if let Some(batch) = unaccepted.filter(|_| resubmit || step.is_multiple_of(STEPS_PER_BATCH))
        {
            let submitting = batch.submit(client, gateway, key);
            submitting.await;
        }
        let reader = self.rng.random_range(0..self.submitted.len());
        let overlap = self.rng.random_range(0..4);
        let reading = self.submitted[reader].read(&self.client, gateway, key, overlap);
        // A paused gateway doesn't answer; the soak continues without the answer.
        let _ = tokio::time::timeout(timeout, reading).await;
        if self.clock.now() < self.fatal_calls.0 {
            self.fatal_calls.1 += 1;
            let credentials = self.credentials(format!("fatal-{}", self.fatal_calls.1), 1);
            let calling = Callers::call_fatal(&self.client, gateway, &credentials);
            let _ = tokio::time::timeout(timeout, calling).await;
        }
        let mut credentials = self.credentials(format!("c{seed}n{step}"), step % WORKSPACES.len());
        let removed = self.keys.last_removed();
        if let Some(removed) = removed.filter(|_| step.is_multiple_of(STEPS_PER_REMOVED_KEY)) {
            removed.clone_into(&mut credentials.key);
        }
        let calling = self
            .callers
            .call(&self.client, gateway, credentials, self.clock);
        let _ = tokio::time::timeout(timeout, calling).await;
    }

    /// The credentials of a call with the current key of `workspace`.
    fn credentials(&self, id: String, workspace: usize) -> Credentials {
        let key = self.keys.current(workspace).to_owned();
        Credentials { id, key }
    }

    /// Draws a gateway; returns its address for callers.
    fn gateway(&mut self) -> SocketAddr {
        let number = self.rng.random_range(0..GATEWAYS);
        let callers = self.processes[number].callers;
        callers.unwrap_or(self.store.address)
    }

    /// Ends all faults and reads every accepted batch until its results are complete.
    async fn finish(&mut self) -> io::Result<()> {
        for (_, action) in std::mem::take(&mut self.deferred) {
            match action {
                Deferred::EndFault(fault) => self.end_fault(fault),
                deferred => self.deferred.push((Millis(0), deferred)),
            }
        }
        let until = self.clock.now() + FINISH_TIMEOUT;
        while self.clock.now() < until {
            self.run_deferred()?;
            let gateway = self.gateway();
            let open = self.submitted.iter_mut().find(|batch| !batch.is_done());
            let Some(open) = open else {
                break;
            };
            open.read(&self.client, gateway, self.keys.current(0), 2)
                .await;
            tokio::time::sleep(STEP_INTERVAL).await;
        }
        for number in 0..self.submitted.len() {
            let gateway = self.gateway();
            self.submitted[number]
                .read(&self.client, gateway, self.keys.current(0), 1_000)
                .await;
        }
        self.check_reserved().await;
        self.check_fatal().await
    }

    /// Checks the quarantine of the fatal call. Once it has crashed three servers and all
    /// gateways know of the crashes, sending it to each gateway may crash one more server at
    /// most, in its trial.
    async fn check_fatal(&mut self) -> io::Result<()> {
        self.run_deferred()?;
        tokio::time::sleep(CRASH_SYNC_TIME).await;
        self.run_deferred()?;
        let before = self.fatal_runs();
        if before < MAX_CRASHES {
            return Ok(());
        }
        for process in 0..GATEWAYS {
            let callers = self.processes[process].callers;
            let gateway = callers.unwrap_or(self.store.address);
            let credentials = self.credentials(format!("fatal-last-{process}"), 1);
            Callers::call_fatal(&self.client, gateway, &credentials).await;
        }
        let crashes = self.fatal_runs() - before;
        if crashes > MAX_TRIALS {
            let violation =
                format!("a call crashed {crashes} more servers after it had crashed {before}");
            self.violations.push(violation);
        }
        Ok(())
    }

    /// Collects the violations and counts; `faults` is the number of injected faults.
    fn report(&self, faults: usize) -> SoakReport {
        let mut violations = self.callers.violations(&self.plain);
        violations.extend(self.violations.clone());
        violations.extend(self.callers.key_violations(&self.plain, &self.keys));
        violations.extend(self.collector.violations());
        for run in self.engines.iter().flat_map(Engine::runs) {
            if run.identity.key.is_some()
                || run.identity.workspace.as_deref() != Some(WORKSPACES[0])
            {
                violations.push(format!(
                    "item {} ran under a wrong identity: {:?}",
                    run.item, run.identity
                ));
            }
        }
        for batch in &self.submitted {
            violations.extend(batch.violations());
        }
        for engine in &self.engines {
            let orders = engine.orders();
            let decreases =
                |pair: &[(String, u64, u64)]| pair[0].1 > pair[1].1 || pair[0].2 > pair[1].2;
            if orders.windows(2).any(decreases) || orders.iter().any(|order| order.0 != orders[0].0)
            {
                violations.push(format!(
                    "engine {} accepted orders of two holders or with a decreasing token or version: {orders:?}",
                    engine.id
                ));
            }
        }
        let accepted = self.submitted.iter().filter(|batch| batch.accepted);
        SoakReport {
            batches: accepted.count(),
            violations,
            calls: self.callers.counts(),
            faults,
        }
    }
}
