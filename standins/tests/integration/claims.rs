//! Claims whose answer is lost, and claims that are written late.

use super::site::{
    RESULTS_TIMEOUT,
    check_whole,
    heartbeat,
    holds_within,
    wait_for_runners, //
};
use redwing_standins::site::{
    Batch,
    Engine,
    Outage,
    SiteOptions,
    Store,
    StoreFaults,
    TestSite, //
};
use redwingpond::{
    base::Millis,
    batch::{self, Claim, WORK, WorkKey, batch_part}, //
};
use std::collections::BTreeSet;

const EVENT_TIME: Millis = Millis(20);

/// The time of a text that fills a slot for the whole of a test.
const BUSY_TIME: Millis = Millis(15_000);

/// How long the items of a bundle may be at no engine. The busy engine's slots are free after
/// [`BUSY_TIME`].
const START_TIMEOUT: Millis = Millis(10_000);

/// As [`START_TIMEOUT`], of a bundle that the other runner may join: it does so 6 s after it has
/// seen the claim.
const JOINABLE_START_TIMEOUT: Millis = Millis(5_000);

/// A site of two engines, one of which is full.
struct BusySite {
    /// The index of the engine that is full.
    full: usize,
    /// The index of the engine without runs.
    idle: usize,
    site: TestSite,
    /// The address of the store that each runner uses.
    stores: Vec<Store>,
}

/// The number of the batch's items that `engine` has begun.
fn begun(engine: &Engine, batch: &Batch) -> usize {
    let runs = engine.runs();
    let items = batch.item_ids().into_iter();
    items
        .filter(|item| runs.iter().any(|run| run.item == *item))
        .count()
}

impl BusySite {
    /// Opens the site and waits until one engine is full and both runners know each other.
    async fn open() -> Self {
        let options = SiteOptions {
            engines: 2,
            ..SiteOptions::default()
        };
        let mut site = TestSite::open(options).await.unwrap();
        let mut stores = Vec::new();
        for number in 0..2 {
            let store = site.store.open_another().await.unwrap();
            site.move_runner(number, store.address).unwrap();
            site.engines[number].set_event_time(EVENT_TIME);
            stores.push(store);
        }
        wait_for_runners(&site).await;

        let busy = Batch::new("busy", 1, 4, BUSY_TIME.0 / EVENT_TIME.0);
        assert_eq!(site.submit(0, &busy).await, Some(202));
        let holder = || {
            let key = WorkKey::Claim(0).to_string();
            let row = site.store.row(WORK, &batch_part(&busy.id), &key)?;
            let claim: Claim = batch::decode("claim", &row)?;
            Some(usize::from(claim.holder == "runner-1"))
        };
        let runs = || holder().is_some_and(|full| begun(&site.engines[full], &busy) == 4);
        assert!(holds_within(&site, RESULTS_TIMEOUT, runs).await);
        let full = holder().unwrap();
        Self {
            full,
            idle: 1 - full,
            site,
            stores,
        }
    }

    /// Checks that the idle engine begins all items of `batch` within `timeout`, and the results
    /// once the store answers again.
    async fn check(self, batch: &Batch, timeout: Millis) {
        let engine = &self.site.engines[self.idle];
        let count = batch.item_ids().len();
        let starts = || begun(engine, batch) == count;
        let started = holds_within(&self.site, timeout, starts).await;
        let found = begun(engine, batch);
        assert!(started, "{found} of {count} items were begun");
        for store in &self.stores {
            store.set_faults(StoreFaults::default());
        }
        let results = self.site.read_results(batch, count, RESULTS_TIMEOUT);
        check_whole(batch, &results.await);
    }
}

/// The second claim of the idle engine's runner, on the bundle that is assigned to the other
/// runner, is stored, and the store then fails for this runner as `outage` says.
async fn check_lost_claim(outage: Outage) {
    let site = BusySite::open().await;
    site.stores[site.idle].set_faults(StoreFaults {
        lost_claim: Some((2, outage)),
        ..StoreFaults::default()
    });
    let batch = Batch::new("lost", 2, 4, 25);
    assert_eq!(site.site.submit(0, &batch).await, Some(202));
    site.check(&batch, START_TIMEOUT).await;
}

/// Guards against items that wait for the whole of an outage, as their runner takes the claim
/// for not written, while the others have seen it.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_runs_although_its_claim_got_no_answer() {
    check_lost_claim(Outage::Reset).await;
}

/// As above, with a store that accepts connections and never answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_runs_although_the_store_is_silent_after_its_claim() {
    check_lost_claim(Outage::Silent).await;
}

/// As above, with a store that loses a single answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_runs_although_a_single_answer_was_lost() {
    check_lost_claim(Outage::None).await;
}

/// A claim of the runner whose engine is full is written after its call got no answer. With
/// `joined`, so is the join of the other runner. Neither of them runs the bundle.
async fn check_late_claim(joined: bool) {
    let site = BusySite::open().await;
    let batch = Batch::new("late", 1, 4, 10);
    let claim = Claim {
        holder: format!("runner-{}", site.full),
        second: joined.then(|| format!("runner-{}", site.idle)),
        token: heartbeat(&site.site, site.full).unwrap().token,
    };
    let key = WorkKey::Claim(0).to_string();
    let store = &site.site.store;
    store.put_row(WORK, &batch_part(&batch.id), &key, &batch::encode(&claim));
    assert_eq!(site.site.submit(0, &batch).await, Some(202));
    let timeout = match joined {
        true => START_TIMEOUT,
        false => JOINABLE_START_TIMEOUT,
    };
    site.check(&batch, timeout).await;
}

/// Guards against items that wait for a holder that does not run them and has no free slot.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_claim_is_given_back() {
    check_late_claim(false).await;
}

/// Guards against items that wait for a holder without a free slot, while its second runner
/// does not run them either and nobody else may join.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_claim_is_given_back_to_its_second_runner() {
    check_late_claim(true).await;
}

/// One of three runners can't read the items of a batch, and the whole store fails once the
/// other two have. Guards against bundles that are at no engine for the whole of the outage, as
/// they are assigned to that runner.
#[tokio::test(flavor = "multi_thread")]
async fn bundles_of_a_runner_without_items_run_through_an_outage() {
    let mut site = TestSite::open(SiteOptions::default()).await.unwrap();
    let failing = site.store.open_another().await.unwrap();
    site.move_runner(0, failing.address).unwrap();
    for engine in &site.engines {
        engine.set_event_time(EVENT_TIME);
    }
    wait_for_runners(&site).await;

    let outage = StoreFaults {
        outage: Outage::Reset,
        ..StoreFaults::default()
    };
    failing.set_faults(outage);
    let batch = Batch::new("unread", 12, 4, 10);
    assert_eq!(site.submit(0, &batch).await, Some(202));
    let others = &site.engines[1..];
    let both_run = || others.iter().all(|engine| begun(engine, &batch) > 0);
    assert!(holds_within(&site, RESULTS_TIMEOUT, both_run).await);
    site.store.set_faults(outage);
    let all_begun = || {
        let runs = site.engines.iter().flat_map(Engine::runs);
        let items: BTreeSet<String> = runs.map(|run| run.item).collect();
        batch.item_ids().iter().all(|item| items.contains(item))
    };
    let begun_all = holds_within(&site, START_TIMEOUT, all_begun).await;
    assert!(begun_all, "not all items were begun during the outage");
    for store in [&failing, &site.store] {
        store.set_faults(StoreFaults::default());
    }
    let results = site.read_results(&batch, 48, RESULTS_TIMEOUT);
    check_whole(&batch, &results.await);
}
