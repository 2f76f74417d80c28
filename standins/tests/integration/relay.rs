//! Gateways and runners that learn changes of the store from each other: a few of them, the
//! roots, read the store, and every other instance follows a parent.

use hyper::Method;
use redwing_standins::{
    relay::{Relay, Silence},
    site::{Batch, Outage, SiteOptions, StoreFaults, TestSite}, //
};
use std::time::Duration;

/// How long a change of the configuration may take to be in force, in ms.
const CONFIG_DELAY: u64 = 1_000;

/// How long a change may take when parents have ended or lost the store, in ms.
const PARENT_REPLACEMENT_DELAY: u64 = 3_000;

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a site and waits for its instances to find their parents.
async fn open(gateways: usize, engines: usize) -> TestSite {
    let options = SiteOptions {
        engines,
        gateways,
        ..SiteOptions::default()
    };
    let site = TestSite::open(options).await.unwrap();
    // By then every instance has found its parent.
    sleep(1_500).await;
    site
}

/// The gateways that don't serve the route with this path prefix.
async fn gateways_without(site: &TestSite, prefix: &str) -> Vec<usize> {
    let mut without = Vec::new();
    for gateway in 0..site.gateways.len() {
        let headers = [("x-attempt-id", "a"), ("x-deadline-ms", "1000")];
        let path = format!("{prefix}x");
        let answer = site.send(gateway, Method::POST, &path, &headers, "a").await;
        if answer.is_none_or(|answer| answer.status != 200) {
            without.push(gateway);
        }
    }
    without
}

/// A route of the plain servers, as an addition to the configuration.
fn route(prefix: &str) -> serde_json::Value {
    serde_json::json!([{
        "name": "more", "host": "site.example", "pathPrefix": prefix, "routeType": "safe",
        "timeoutMs": 2_000, "targetLatencyMs": 200, "priority": 1, "maxAttempts": 3,
        "service": "plain",
    }])
}

/// If every instance read the store itself, its load would grow with their number: nine
/// gateways and nine runners with a heartbeat per second would make 156 calls a second, by
/// the times for which requests are held. With relays, a few instances must do for all.
#[tokio::test(flavor = "multi_thread")]
async fn few_instances_read_the_store_for_all() {
    let mut site = open(9, 9).await;
    let before = site.store.reads();
    sleep(2_000).await;
    let reads_per_second = (site.store.reads() - before) / 2;
    // Three gateways read 3.7 times a second; three runners read 10 times a second more, for
    // heartbeats; six gateways check once a second whether the store is reachable.
    assert!(reads_per_second <= 58, "{reads_per_second} calls a second");

    site.put_config(route("/more/"));
    sleep(CONFIG_DELAY).await;
    assert_eq!(gateways_without(&site, "/more/").await, Vec::<usize>::new());

    let batch = Batch::new("fed", 6, 4, 5);
    assert_eq!(site.submit(4, &batch).await, Some(202));
    let results = site
        .read_results(&batch, 24, redwingpond::base::Millis(10_000))
        .await;
    assert_eq!(results.len(), 24);
}

/// Six of nine gateways end at once, among them the parents of others. The remaining gateways
/// must still learn changes.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_learn_changes_when_their_parents_end() {
    let mut site = open(9, 1).await;
    site.gateways.drain(0..6);
    site.put_config(route("/more/"));
    sleep(PARENT_REPLACEMENT_DELAY).await;
    assert_eq!(gateways_without(&site, "/more/").await, Vec::<usize>::new());
}

/// A gateway whose connections to the store go silent must still learn a new configuration,
/// from other gateways, but report that it isn't ready, so that batches go to others.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_cut_off_from_the_store_learns_changes_from_peers() {
    let mut site = open(4, 1).await;
    let store_relay = Relay::open(site.store.address).await.unwrap();
    site.start_gateway_via(store_relay.address).await.unwrap();
    sleep(1_500).await;
    store_relay.silence(Silence {
        from_target: true,
        to_target: true,
    });
    drop(store_relay);
    site.put_config(route("/more/"));
    sleep(PARENT_REPLACEMENT_DELAY).await;
    assert_eq!(gateways_without(&site, "/more/").await, Vec::<usize>::new());

    let ready = site.gateways[4].ready;
    let within = Duration::from_secs(1);
    let asked = site
        .client
        .call(Method::GET, ready, "/readyz", &[], "", within);
    assert_eq!(asked.await.unwrap().status, 503);
}

/// After each kind of outage of the store, all gateways must learn what has changed
/// meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn all_gateways_learn_changes_after_an_outage() {
    for outage in [Outage::Busy, Outage::Reset, Outage::Silent] {
        let mut site = open(9, 1).await;
        site.store.set_faults(StoreFaults {
            outage,
            ..StoreFaults::default()
        });
        sleep(3_000).await;
        site.put_config(route("/more/"));
        site.store.set_faults(StoreFaults::default());
        sleep(PARENT_REPLACEMENT_DELAY).await;
        assert_eq!(
            gateways_without(&site, "/more/").await,
            Vec::<usize>::new(),
            "{outage:?}"
        );
    }
}

/// The tree of parents has three levels. Relayed state grew older at each level by the time
/// for which a relay request is held, so that instances of the third level took their parents
/// for stale and left them every second.
#[tokio::test(flavor = "multi_thread")]
async fn a_three_level_tree_stays_stable() {
    let mut site = open(60, 1).await;
    sleep(2_000).await;
    let before = site.store.reads();
    sleep(3_000).await;
    let reads_per_second = (site.store.reads() - before) / 3;
    // Roots read three tables, other instances only check whether the store is reachable;
    // each change of a parent costs some calls more.
    assert!(reads_per_second <= 95, "{reads_per_second} calls a second");
    site.put_config(route("/more/"));
    sleep(CONFIG_DELAY).await;
    assert_eq!(gateways_without(&site, "/more/").await, Vec::<usize>::new());
}
