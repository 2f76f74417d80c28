//! Usage reports, while gateways end and the store and the platform have faults.

use hyper::Method;
use redwing_standins::site::{
    Cloud,
    CloudFault,
    Outage,
    Plain,
    Scene,
    Shape,
    StoreFaults, //
};
use redwingpond::{
    base::Millis,
    settings::UsageSettings, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// The time that one report covers.
const WINDOW: Millis = Millis(1_000);
/// How long the lease of the reporting gateway lasts.
const LEASE_DURATION: Millis = Millis(2_500);

/// The time after its end within which a window must be reported.
const MAX_REPORT_DELAY: Millis = Millis(10_000);

/// The workspaces and their keys.
const KEYS: [(&str, &str); 2] = [("foam", "foam-key"), ("springs", "springs-key")];

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Opens a site that reports to `cloud`.
async fn open(cloud: &Cloud) -> Scene {
    let shape = Shape {
        engines: 1,
        gateways: 3,
        revocation: Some(Millis(30_000)),
        usage: Some(UsageSettings {
            address: cloud.address,
            lease: LEASE_DURATION,
            window: WINDOW,
        }),
        ..Shape::default()
    };
    let mut scene = Scene::open(shape).await.unwrap();
    let keys = KEYS.map(|(name, key)| (name, [key]));
    scene.put_workspaces(&keys.each_ref().map(|(name, keys)| (*name, &keys[..])));
    sleep(500).await;
    scene
}

/// Makes `count` calls, one every 20 ms, to the gateways from `first` on in turn, by
/// the two workspaces in turn.
async fn send_calls(scene: &Scene, name: &str, count: usize, first: usize) {
    for number in 0..count {
        let (_, key) = KEYS[number % KEYS.len()];
        let id = format!("{name}-{number}");
        let headers = [("x-attempt-id", id.as_str()), ("x-api-key", key)];
        let gateways = scene.gateways.len() - first;
        let gateway = first + number % gateways;
        scene
            .send(gateway, Method::POST, "/safe/x", &headers, id.clone())
            .await;
        sleep(20).await;
    }
}

/// The number of calls that the servers ran, by workspace.
fn executed_counts(scene: &Scene) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for asker in scene.plain.iter().flat_map(Plain::askers) {
        *counts
            .entry(asker.workspace.unwrap_or_default())
            .or_default() += 1;
    }
    counts
}

/// Waits until every window so far is reported, checks the reports, and returns the sum
/// of their counts by workspace.
async fn reported_counts(scene: &Scene, cloud: &Cloud) -> BTreeMap<String, u64> {
    let last = scene.clock.wall().0 / WINDOW.0;
    let until = scene.clock.now() + MAX_REPORT_DELAY + LEASE_DURATION;
    while cloud
        .reported()
        .last_key_value()
        .is_none_or(|(window, _)| *window < last)
    {
        assert!(scene.clock.now() < until, "window {last} was not reported");
        sleep(100).await;
    }
    assert_eq!(cloud.broken(), Vec::<String>::new());
    let windows = cloud.reported();
    let numbers: Vec<u64> = windows.keys().copied().collect();
    for pair in numbers.windows(2) {
        assert_eq!(pair[0] + 1, pair[1], "a window was left out");
    }
    let mut sum = BTreeMap::new();
    for (name, count) in windows.into_values().flatten() {
        *sum.entry(name).or_default() += count;
    }
    sum
}

/// Operators bill by workspace and window. Each window must be reported once, within
/// the allowed time, with the calls that the servers ran.
#[tokio::test(flavor = "multi_thread")]
async fn each_window_is_reported_once_in_full() {
    let cloud = Cloud::open().await.unwrap();
    let scene = open(&cloud).await;
    send_calls(&scene, "calm", 150, 0).await;
    let sum = reported_counts(&scene, &cloud).await;
    assert_eq!(sum, executed_counts(&scene));
    assert_eq!(sum["foam"], 75);
}

/// The reporting gateway ends while the platform accepts reports without answering.
/// Another gateway must take over under a higher fencing number and send again what the
/// first had fixed, with the same counts. No window may be left out, and the lease
/// changes hands only once.
#[tokio::test(flavor = "multi_thread")]
async fn a_reporter_that_ends_is_replaced() {
    let cloud = Cloud::open().await.unwrap();
    let mut scene = open(&cloud).await;
    send_calls(&scene, "first", 60, 0).await;
    reported_counts(&scene, &cloud).await;
    let holder = cloud.calls().last().unwrap().holder.clone();
    cloud.set_fault(CloudFault::Lost);
    sleep(2 * WINDOW.0).await;
    let number: usize = holder.rsplit('-').next().unwrap().parse().unwrap();
    drop(scene.gateways.remove(number));
    cloud.set_fault(CloudFault::None);
    send_calls(&scene, "second", 100, 0).await;
    reported_counts(&scene, &cloud).await;

    let calls = cloud.calls();
    let last = calls.last().unwrap();
    assert_ne!(last.holder, holder);
    let fences: Vec<u64> = calls.iter().map(|call| call.fence).collect();
    assert!(fences.first() < fences.last(), "{fences:?}");
    let handovers = calls
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder);
    assert_eq!(handovers.count(), 1);
}

/// The store, then the platform fails in each possible way. What the servers ran
/// meanwhile must be in later reports, and no report may differ from an earlier one of
/// the same window.
#[tokio::test(flavor = "multi_thread")]
async fn no_count_is_lost_in_outages() {
    let cloud = Cloud::open().await.unwrap();
    let scene = open(&cloud).await;
    for (number, outage) in [Outage::Busy, Outage::Silent, Outage::Reset]
        .into_iter()
        .enumerate()
    {
        scene.store.set_faults(StoreFaults {
            outage,
            ..StoreFaults::default()
        });
        send_calls(&scene, &format!("store-{number}"), 50, 0).await;
        scene.store.set_faults(StoreFaults {
            lost_answers: Some(3),
            ..StoreFaults::default()
        });
        sleep(1_000).await;
    }
    scene.store.set_faults(StoreFaults::default());
    for fault in [CloudFault::Busy, CloudFault::Reset, CloudFault::Lost] {
        cloud.set_fault(fault);
        send_calls(&scene, &format!("{fault:?}"), 50, 0).await;
    }
    cloud.set_fault(CloudFault::None);
    let sum = reported_counts(&scene, &cloud).await;
    assert_eq!(sum, executed_counts(&scene));
}
