//! The weight versions of texts whose runs are interrupted.

use super::site::{RESULTS_TIMEOUT, check_whole, sleep, submit_until_accepted};
use redwing_standins::site::{
    Batch,
    Engine,
    EngineFaults,
    ItemResult,
    SiteOptions,
    TestSite, //
};
use redwingpond::{
    base::Millis,
    batch,
    policy::load_features::LoadFeatures, //
};

const EVENT_TIME: Millis = Millis(40);

/// The event time once the interruption is over.
const FAST_EVENT_TIME: Millis = Millis(2);

/// How often a condition is checked.
const POLL_INTERVAL: u64 = 10;

/// A site with a route whose texts must have one version, and with a running batch of two
/// items for it at the first engine.
struct Running {
    batch: Batch,
    site: TestSite,
}

impl Running {
    async fn open(name: &str, engines: usize) -> Self {
        let features = LoadFeatures {
            handover: true,
            ..LoadFeatures::default()
        };
        let options = SiteOptions {
            drain: Some(Millis(5_000)),
            engines,
            features,
            gateways: 1,
            plain: 1,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        // The other runners start once the texts are saved: none of them runs an item before.
        for runner in &mut site.runners[1..] {
            *runner = None;
        }
        site.put_config(serde_json::json!([{
            "name": "single", "host": "site.example", "pathPrefix": "/single/",
            "routeType": "rollout", "timeoutMs": 2_000, "targetLatencyMs": 200,
            "resultDeadlineMs": 60_000, "itemTtlS": 60, "priority": 1,
            "maxAttempts": 3, "service": "engines", "singleVersion": true,
        }]));
        for engine in &site.engines {
            engine.set_event_time(EVENT_TIME);
        }
        let batch = Batch {
            prefix: "/single/".to_owned(),
            ..Batch::new(name, 1, 2, 250)
        };
        submit_until_accepted(&site, &batch).await;
        let mut running = Self { batch, site };
        let are_saved = |running: &Self| running.saved_texts() == 2;
        running.wait_until("the texts are saved", are_saved).await;
        for other in 1..engines {
            running.site.start_runner(other).unwrap();
        }
        running
    }

    /// The number of texts that are saved in the store.
    fn saved_texts(&self) -> usize {
        let part = batch::batch_part(&self.batch.id);
        self.site.store.rows_in_table(batch::PARTIALS, &part)
    }

    fn busy(&self) -> &Engine {
        &self.site.engines[0]
    }

    fn idle(&self) -> &Engine {
        &self.site.engines[1]
    }

    async fn wait_until(&self, what: &str, is_met: impl Fn(&Self) -> bool) {
        let deadline = self.site.clock.now() + RESULTS_TIMEOUT;
        while !is_met(self) {
            assert!(
                self.site.clock.now() < deadline,
                "{}: {what}",
                self.batch.id
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Breaks off the run of the batch's first item.
    fn break_run(&self) {
        self.busy().set_faults(EngineFaults {
            broken_items: vec![self.batch.item_id(0, 0)],
            ..EngineFaults::default()
        });
    }

    /// Whether a run went on after events of an earlier one.
    fn is_continued(&self) -> bool {
        let mut runs = self.site.engines.iter().flat_map(Engine::runs);
        runs.any(|run| run.after.is_some())
    }

    /// The number of runs that began with the first event.
    fn fresh_runs(&self) -> usize {
        let runs = self.site.engines.iter().flat_map(Engine::runs);
        runs.filter(|run| run.after.is_none()).count()
    }

    /// Lets the runs end and reads the results, whose texts must be complete.
    async fn results(&self) -> Vec<ItemResult> {
        for engine in &self.site.engines {
            engine.set_event_time(FAST_EVENT_TIME);
        }
        let results = self
            .site
            .read_results(&self.batch, 2, RESULTS_TIMEOUT)
            .await;
        check_whole(&self.batch, &results);
        results
    }
}

/// How a run is interrupted after which its text may meet newer weights.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    /// Its connection breaks.
    Break,
    /// Its connection breaks while its engine waits for the other runs before a load.
    BreakBeforeLoad,
    /// Its engine goes down, and another runner goes on.
    Crash,
    /// Its engine is announced as draining and hands it over.
    Handover,
    /// Not at all: its engine carries out a late order, and the run continues.
    LateOrder,
    /// Its engine restarts.
    Restart,
}

struct Test {
    interruption: Interruption,
    name: &'static str,
    /// Whether the engine that goes on has newer weights.
    newer: bool,
}

impl Test {
    /// Interrupts the runs of a batch; returns what is wrong with the results.
    async fn check(self) -> Vec<String> {
        let engines = match self.interruption {
            Interruption::Crash | Interruption::Handover => 2,
            Interruption::Break
            | Interruption::BreakBeforeLoad
            | Interruption::LateOrder
            | Interruption::Restart => 1,
        };
        let running = Running::open(self.name, engines).await;
        let fresh_runs = running.fresh_runs();
        let version = if self.newer { 2 } else { 1 };
        match self.interruption {
            Interruption::Break => {
                running.busy().set_version(version);
                running.break_run();
            }
            Interruption::BreakBeforeLoad => {
                running.site.name_version(version);
                let is_ordered = |running: &Running| !running.busy().orders().is_empty();
                running.wait_until("the load is ordered", is_ordered).await;
                running.break_run();
            }
            Interruption::Crash => {
                running.idle().set_version(version);
                running.busy().switch().send_replace(false);
            }
            Interruption::Handover => {
                running.idle().set_version(version);
                running.site.announce_engine(running.busy(), "draining");
                let is_moved = |running: &Running| !running.idle().runs().is_empty();
                running.wait_until("the texts move", is_moved).await;
            }
            Interruption::LateOrder => running.busy().set_version(version),
            Interruption::Restart => {
                let engine = running.busy();
                engine.set_version(version);
                engine.restart(&engine.id, "m0");
            }
        }
        let results = running.results().await;
        let several = results.iter().filter(|result| result.versions.len() != 1);
        let mut faults: Vec<String> = several
            .map(|result| format!("{}: versions {:?}", result.id, result.versions))
            .collect();
        let is_kept = results.iter().all(|result| result.versions == [1])
            && running.is_continued()
            && running.fresh_runs() == fresh_runs;
        if !self.newer && !is_kept {
            faults.push(format!("{}: started again", self.name));
        }
        faults
    }
}

/// Checks all `tests`, one after another.
async fn check_all<const N: usize>(tests: [Test; N]) {
    let mut faults = Vec::new();
    for test in tests {
        faults.extend(test.check().await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against texts of several versions on a route that allows one, after each kind of
/// interruption.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_text_has_one_version() {
    let test = |name, interruption| Test {
        interruption,
        name,
        newer: true,
    };
    let tests = [
        test("breaks", Interruption::Break),
        test("waits", Interruption::BreakBeforeLoad),
        test("crashes", Interruption::Crash),
        test("drains", Interruption::Handover),
        test("reloads", Interruption::LateOrder),
        test("restarts", Interruption::Restart),
    ];
    check_all(tests).await;
}

/// Guards against texts that are started again although an engine with their version goes
/// on.
#[tokio::test(flavor = "multi_thread")]
async fn an_interrupted_text_goes_on_under_its_version() {
    let test = |name, interruption| Test {
        interruption,
        name,
        newer: false,
    };
    let tests = [
        test("breaks", Interruption::Break),
        test("crashes", Interruption::Crash),
        test("drains", Interruption::Handover),
        test("restarts", Interruption::Restart),
    ];
    check_all(tests).await;
}

/// Guards against the loss of a complete text whose connection broke at its end, when its
/// engine has newer weights by the time that it is asked for the rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_complete_text_is_kept_under_newer_weights() {
    let running = Running::open("complete", 1).await;
    running.site.name_version(2);
    let is_ordered = |running: &Running| !running.busy().orders().is_empty();
    running.wait_until("the load is ordered", is_ordered).await;
    running.busy().set_faults(EngineFaults {
        unended_items: vec![running.batch.item_id(0, 0)],
        ..EngineFaults::default()
    });
    for result in running.results().await {
        assert_eq!(result.versions, [1], "{}", result.id);
    }
    assert!(running.is_continued(), "the connection did not break");
}

/// Guards against events of a text whose version is older than its batch allows, from an
/// engine that goes back to older weights during the run.
#[tokio::test(flavor = "multi_thread")]
async fn later_events_are_not_older_than_the_batch_allows() {
    let options = SiteOptions {
        engines: 1,
        ..SiteOptions::default()
    };
    let site = TestSite::open(options).await.unwrap();
    let engine = &site.engines[0];
    engine.set_event_time(EVENT_TIME);
    site.name_version(2);
    let batch = Batch {
        least_version: 2,
        ..Batch::new("least", 1, 2, 100)
    };
    submit_until_accepted(&site, &batch).await;
    let deadline = site.clock.now() + RESULTS_TIMEOUT;
    while engine.events() < 20 && site.clock.now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
    engine.set_version(1);
    let results = site.read_results(&batch, 2, RESULTS_TIMEOUT).await;
    check_whole(&batch, &results);
    for result in &results {
        assert_eq!(result.versions, [2], "{}", result.id);
    }
}
