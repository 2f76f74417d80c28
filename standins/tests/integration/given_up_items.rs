//! Items that are given up while their runs or the store delay their results.

use super::site::{RESULTS_TIMEOUT, sleep, submit_until_accepted};
use redwing_standins::site::{
    Batch,
    Engine,
    ItemResult,
    Outage,
    PlainFault,
    SiteOptions,
    StoreFaults,
    TestSite, //
};
use redwingpond::base::Millis;
use std::collections::BTreeMap;

/// How long an item of the route `/short/` may take.
const ITEM_TTL: Millis = Millis(3_000);

/// How long after [`ITEM_TTL`] all items have been given up, on a machine with some load.
const GIVE_UP_DELAY: Millis = Millis(1_500);

/// How often a condition is checked.
const POLL_INTERVAL: u64 = 20;

/// A site with a route for batches whose items are given up after [`ITEM_TTL`].
async fn open_site(engines: usize) -> TestSite {
    let options = SiteOptions {
        engines,
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    site.put_config(serde_json::json!([{
        "name": "short", "host": "site.example", "pathPrefix": "/short/",
        "routeType": "rollout", "timeoutMs": 2_000, "targetLatencyMs": 200,
        "resultDeadlineMs": 2_000, "itemTtlS": ITEM_TTL.0 / 1_000, "priority": 1,
        "maxAttempts": 3, "service": "engines",
    }]));
    site
}

/// A batch for the route `/short/`.
fn short_batch(id: &str, groups: usize, events: u64) -> Batch {
    Batch {
        prefix: "/short/".to_owned(),
        ..Batch::new(id, groups, 2, events)
    }
}

/// Waits until `is_met`, but not for longer than `timeout`.
async fn wait_until(site: &TestSite, timeout: Millis, is_met: impl Fn() -> bool) {
    let deadline = site.clock.now() + timeout;
    while !is_met() && site.clock.now() < deadline {
        sleep(POLL_INTERVAL).await;
    }
}

fn begun_runs(site: &TestSite) -> usize {
    site.engines.iter().map(|engine| engine.runs().len()).sum()
}

fn ended_runs(site: &TestSite) -> usize {
    site.engines.iter().map(Engine::ended_runs).sum()
}

/// Reads a batch once all its items are listed, and again. Returns the results, and what is
/// wrong with them: each item must have one, and the second read must find the same.
async fn read_twice(site: &TestSite, batch: &Batch) -> (Vec<ItemResult>, Vec<String>) {
    let items = batch.item_ids();
    let listed = site.read_results(batch, items.len(), RESULTS_TIMEOUT).await;
    sleep(500).await;
    let again = site.read_page(0, batch, 0).await.expect("the page is read");
    let mut states: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for result in &again.results {
        states.entry(&result.id).or_default().push(&result.state);
    }
    let twice = states.iter().filter(|(_, of)| of.len() > 1);
    let mut faults: Vec<String> = twice
        .map(|(item, of)| format!("{item} is {of:?}"))
        .collect();
    if states.len() != items.len() {
        faults.push(format!("{}: {} items are listed", batch.id, states.len()));
    }
    if faults.is_empty() && again.results != listed {
        faults.push(format!("{}: the results have changed", batch.id));
    }
    (listed, faults)
}

/// What an item is waiting for when it is given up.
#[derive(Clone, Copy)]
enum Stage {
    Generating,
    Scoring,
}

struct Test {
    faults: StoreFaults,
    name: &'static str,
    stage: Stage,
}

impl Test {
    /// Gives up the items of a batch while the store fails, then lets their runs end. Returns
    /// what is wrong with the results.
    async fn check(self) -> Vec<String> {
        let site = open_site(2).await;
        let mut batch = short_batch(self.name, 4, 200);
        let items = batch.item_ids().len();
        match self.stage {
            Stage::Generating => {
                // A text is not scored any more once its time is over.
                batch.scored = false;
                for engine in &site.engines {
                    engine.set_event_time(Millis(1_000));
                }
            }
            Stage::Scoring => {
                for plain in &site.plain {
                    plain.set_fault(PlainFault::Full);
                }
            }
        }
        submit_until_accepted(&site, &batch).await;
        let given_up_at = site.clock.now() + ITEM_TTL + GIVE_UP_DELAY;
        wait_until(&site, ITEM_TTL, || match self.stage {
            Stage::Generating => begun_runs(&site) >= items,
            Stage::Scoring => ended_runs(&site) >= items,
        })
        .await;
        site.store.set_faults(self.faults);
        sleep(given_up_at.since(site.clock.now()).0).await;

        // Whatever still runs is completed before the store recovers.
        for engine in &site.engines {
            engine.set_event_time(Millis(1));
        }
        for plain in &site.plain {
            plain.set_fault(PlainFault::None);
        }
        sleep(2_000).await;
        site.store.set_faults(StoreFaults::default());
        read_twice(&site, &batch).await.1
    }
}

/// Guards against two results of an item that was given up while the store failed, and then
/// completed by its run.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_given_up_while_the_store_fails_is_listed_once() {
    let outage = |outage| StoreFaults {
        outage,
        ..StoreFaults::default()
    };
    let tests = [
        Test {
            faults: outage(Outage::Busy),
            name: "busy",
            stage: Stage::Generating,
        },
        Test {
            faults: outage(Outage::Reset),
            name: "reset",
            stage: Stage::Scoring,
        },
        Test {
            faults: outage(Outage::Silent),
            name: "silent",
            stage: Stage::Generating,
        },
        Test {
            faults: StoreFaults {
                lost_answers: Some(2),
                ..StoreFaults::default()
            },
            name: "lost",
            stage: Stage::Scoring,
        },
        Test {
            faults: StoreFaults {
                late_writes: Some((2, Millis(1_200))),
                ..StoreFaults::default()
            },
            name: "late",
            stage: Stage::Generating,
        },
        Test {
            faults: StoreFaults {
                delay: Millis(300),
                ..StoreFaults::default()
            },
            name: "slow",
            stage: Stage::Scoring,
        },
    ];
    let faults = futures_util::future::join_all(tests.map(Test::check)).await;
    let faults = faults.concat();
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against runs that go on at their engine, or begin there, although their items were
/// given up.
#[tokio::test(flavor = "multi_thread")]
async fn runs_of_given_up_items_end_at_their_engine() {
    let site = open_site(1).await;
    site.engines[0].set_event_time(Millis(20));
    let batch = short_batch("needless", 2, 100_000);
    submit_until_accepted(&site, &batch).await;
    wait_until(&site, ITEM_TTL, || begun_runs(&site) >= 4).await;
    site.store.set_faults(StoreFaults {
        outage: Outage::Reset,
        ..StoreFaults::default()
    });

    let deadline = site.clock.now() + RESULTS_TIMEOUT;
    loop {
        let events = site.engines[0].events();
        sleep(1_000).await;
        if site.engines[0].events() == events {
            break;
        }
        let in_time = site.clock.now() < deadline;
        assert!(in_time, "the runs of items that were given up go on");
    }
    let runs = begun_runs(&site);
    site.store.set_faults(StoreFaults::default());
    let (results, faults) = read_twice(&site, &batch).await;
    assert!(faults.is_empty(), "{faults:#?}");
    let given_up = results.iter().filter(|result| result.state == "terminated");
    assert_eq!(given_up.count(), 4);
    assert_eq!(begun_runs(&site), runs, "an item ran after it was given up");
}
