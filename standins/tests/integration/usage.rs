//! Usage reports while gateways end and the store and the collector fail.

use hyper::Method;
use redwing_standins::site::{
    CollectorFault,
    Outage,
    PlainServer,
    SiteOptions,
    StoreFaults, //
    TestSite,
    UsageCollector,
};
use redwingpond::{
    base::Millis,
    settings::UsageSettings, //
};
use std::{
    collections::BTreeMap,
    time::Duration, //
};

/// The time window that one report covers.
const WINDOW: Millis = Millis(1_000);

/// How long the reporting gateway's lease lasts.
const LEASE: Millis = Millis(2_500);

/// How long after its end a window may be reported.
const MAX_REPORT_DELAY: Millis = Millis(10_000);

/// The workspaces and their API keys.
const KEYS: [(&str, &str); 2] = [("foam", "foam-key"), ("springs", "springs-key")];

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a site whose gateways report to `collector`.
async fn open(collector: &UsageCollector) -> TestSite {
    let options = SiteOptions {
        engines: 1,
        gateways: 3,
        revocation: Some(Millis(30_000)),
        usage: Some(UsageSettings {
            address: collector.address,
            lease: LEASE,
            window: WINDOW,
        }),
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    let keys = KEYS.map(|(name, key)| (name, [key]));
    site.put_workspaces(&keys.each_ref().map(|(name, keys)| (*name, &keys[..])));
    sleep(500).await;
    site
}

/// Makes `count` calls, one every 20 ms, through the gateways from `first` on in turn and with
/// the keys of all workspaces in turn.
async fn call(site: &TestSite, name: &str, count: usize, first: usize) {
    for number in 0..count {
        let (_, key) = KEYS[number % KEYS.len()];
        let id = format!("{name}-{number}");
        let headers = [("x-attempt-id", id.as_str()), ("x-api-key", key)];
        let gateways = site.gateways.len() - first;
        let gateway = first + number % gateways;
        site.send(gateway, Method::POST, "/safe/x", &headers, id.clone())
            .await;
        sleep(20).await;
    }
}

/// The number of requests that the servers ran, by workspace.
fn run_counts(site: &TestSite) -> BTreeMap<String, u64> {
    let mut ran = BTreeMap::new();
    for identity in site.plain.iter().flat_map(PlainServer::identities) {
        *ran.entry(identity.workspace.unwrap_or_default())
            .or_default() += 1;
    }
    ran
}

/// Waits until all windows up to now have been reported without gaps or violations; returns
/// the sums of their counts by workspace.
async fn wait_reported(site: &TestSite, collector: &UsageCollector) -> BTreeMap<String, u64> {
    let last = site.clock.wall().0 / WINDOW.0;
    let until = site.clock.now() + MAX_REPORT_DELAY + LEASE;
    while collector
        .counts_by_window()
        .last_key_value()
        .is_none_or(|(window, _)| *window < last)
    {
        assert!(site.clock.now() < until, "window {last} was not reported");
        sleep(100).await;
    }
    assert_eq!(collector.violations(), Vec::<String>::new());
    let windows = collector.counts_by_window();
    let numbers: Vec<u64> = windows.keys().copied().collect();
    for pair in numbers.windows(2) {
        assert_eq!(pair[0] + 1, pair[1], "a window was not reported");
    }
    let mut sum = BTreeMap::new();
    for (name, count) in windows.into_values().flatten() {
        *sum.entry(name).or_default() += count;
    }
    sum
}

/// Operators bill by workspace and window. Every window must be reported in time, and the
/// counts must match what the servers ran, with repeated attempts of a call counted as well.
#[tokio::test(flavor = "multi_thread")]
async fn windows_are_reported_with_what_ran() {
    let collector = UsageCollector::open().await.unwrap();
    let site = open(&collector).await;
    call(&site, "calm", 150, 0).await;
    let sum = wait_reported(&site, &collector).await;
    assert_eq!(sum, run_counts(&site));
    assert_eq!(sum["foam"], 75);
}

/// The reporting gateway ends while the collector records reports without answering. Another
/// gateway must take over with a higher fencing token and repeat unanswered reports with the
/// same counts. No window may be missing, and the reporter may change only once.
#[tokio::test(flavor = "multi_thread")]
async fn another_gateway_replaces_a_reporter_that_ends() {
    let collector = UsageCollector::open().await.unwrap();
    let mut site = open(&collector).await;
    call(&site, "first", 60, 0).await;
    wait_reported(&site, &collector).await;
    let holder = collector.reports().last().unwrap().holder.clone();
    collector.set_fault(CollectorFault::Lost);
    sleep(2 * WINDOW.0).await;
    let number: usize = holder.rsplit('-').next().unwrap().parse().unwrap();
    drop(site.gateways.remove(number));
    collector.set_fault(CollectorFault::None);
    call(&site, "second", 100, 0).await;
    wait_reported(&site, &collector).await;

    let reports = collector.reports();
    let last = reports.last().unwrap();
    assert_ne!(last.holder, holder);
    let fences: Vec<u64> = reports.iter().map(|report| report.fence).collect();
    assert!(fences.first() < fences.last(), "{fences:?}");
    let changes = reports
        .windows(2)
        .filter(|pair| pair[0].holder != pair[1].holder);
    assert_eq!(changes.count(), 1);
}

/// The store and then the collector fail in each way. The reports that follow must contain
/// what ran meanwhile, and none may differ from an earlier report for the same window.
#[tokio::test(flavor = "multi_thread")]
async fn reports_survive_outages() {
    let collector = UsageCollector::open().await.unwrap();
    let site = open(&collector).await;
    for (number, outage) in [Outage::Busy, Outage::Silent, Outage::Reset]
        .into_iter()
        .enumerate()
    {
        site.store.set_faults(StoreFaults {
            outage,
            ..StoreFaults::default()
        });
        call(&site, &format!("store-{number}"), 50, 0).await;
        site.store.set_faults(StoreFaults {
            lost_answers: Some(3),
            ..StoreFaults::default()
        });
        sleep(1_000).await;
    }
    site.store.set_faults(StoreFaults::default());
    for fault in [
        CollectorFault::Busy,
        CollectorFault::Reset,
        CollectorFault::Lost,
    ] {
        collector.set_fault(fault);
        call(&site, &format!("{fault:?}"), 50, 0).await;
    }
    collector.set_fault(CollectorFault::None);
    let sum = wait_reported(&site, &collector).await;
    assert_eq!(sum, run_counts(&site));
}
