//! The trainer's loop: wait for a step's samples, submit the next step, and train
//! while its samples are generated.

use super::{
    Config,
    Report,
    api::{Api, Fetch, wait_before_retry},
    check::check, //
};
use redwingpond::{
    base::Clock,
    policy::{bitmap::Bitmap, step_spec::StepSpec}, //
};
use std::sync::atomic::{
    AtomicU64,
    Ordering, //
};

/// Runs all steps; counts each new sample in `progress`.
pub async fn run(config: &Config, progress: &AtomicU64) -> Report {
    let clock = Clock::open();
    let started = clock.now();
    let api = Api::new(config);
    let mut trainer = Trainer {
        api,
        clock,
        epoch: 0,
        progress,
        report: Report::default(),
        version: 1,
    };
    trainer.api.publish(trainer.version).await;
    let mut next = config.spec(0, trainer.version);
    trainer.api.submit(0, &next).await;
    let mut submitted = clock.now();

    for step in 0..config.steps {
        let spec = next.clone();
        let waiting = clock.now();
        trainer.collect_step(step, &spec).await;
        let now = clock.now();
        trainer.report.idle_ms += now.since(waiting).0;
        trainer.report.step_ms.push(now.since(submitted).0);
        if step + 1 < config.steps {
            next = config.spec(step + 1, trainer.version);
            trainer.api.submit(step + 1, &next).await;
            submitted = clock.now();
        }
        tokio::time::sleep(config.train_time).await;
        trainer.version += 1;
        trainer.api.publish(trainer.version).await;
    }
    trainer.report.wall_ms = clock.now().since(started).0;
    trainer.report
}

/// The state of a run.
struct Trainer<'a> {
    api: Api<'a>,
    clock: Clock,
    /// The highest epoch of an owner so far; answers from older owners are dropped.
    epoch: u64,
    progress: &'a AtomicU64,
    report: Report,
    /// The weight version that the trainer has reached.
    version: u64,
}

/// How long the trainer fetches the samples of one step; those still outstanding then count as
/// missing.
const STEP_TIMEOUT_MS: u64 = 60_000;

impl Trainer<'_> {
    /// Fetches until all samples of the step have arrived, the owner answers that the step is
    /// done, or [`STEP_TIMEOUT_MS`] has passed.
    async fn collect_step(&mut self, step: u64, spec: &StepSpec) {
        let mut have = Bitmap::default();
        let wanted = spec.samples();
        self.report.asked += u64::from(wanted);
        let started = self.clock.now();
        let mut regenerated = 0;
        while have.count() < wanted && self.clock.now().since(started).0 < STEP_TIMEOUT_MS {
            let fetch = self.api.fetch(step, &have, self.version, self.epoch);
            match fetch.await {
                Fetch::Retry => {
                    self.report.failed_requests += 1;
                    wait_before_retry().await;
                }
                Fetch::Received(fetched) if fetched.epoch < self.epoch => {
                    self.report.failed_requests += 1;
                }
                Fetch::Received(fetched) => {
                    self.epoch = fetched.epoch;
                    regenerated = fetched.regenerated;
                    for group in &fetched.groups {
                        for sample in &group.samples {
                            self.record_sample(spec, group.group, sample, &mut have);
                        }
                    }
                    if fetched.done && have.count() < wanted {
                        break;
                    }
                }
                Fetch::Unknown => self.api.submit(step, spec).await,
            }
        }
        self.report.regenerated += regenerated;
        self.report.missing += u64::from(wanted - have.count());
    }

    /// Checks and counts a sample that is new; counts a duplicate otherwise.
    fn record_sample(
        &mut self,
        spec: &StepSpec,
        group: u32,
        sample: &super::check::Sample,
        have: &mut Bitmap,
    ) {
        if have.holds(sample.number) {
            self.report.duplicate += 1;
            return;
        }
        have.set(sample.number);
        self.report.delivered += 1;
        self.progress.fetch_add(1, Ordering::Relaxed);
        check(&mut self.report, spec, group, sample, self.version);
    }
}
