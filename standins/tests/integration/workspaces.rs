//! API keys and workspaces: which calls are served, under which workspace, and how old the
//! configuration may be that decides it.

use hyper::Method;
use redwing_standins::site::{
    Batch,
    Engine,
    Outage,
    PlainServer,
    SiteOptions,
    StoreFaults, //
    TestSite,
};
use redwingpond::base::Millis;
use std::time::Duration;

/// How long a removed key may still work in these tests, in ms.
const REVOCATION_LIMIT: u64 = 2_000;

const FOAM_KEY: &str = "foam-key-one";
const FOAM_NEXT_KEY: &str = "foam-key-two";
const SPRINGS_KEY: &str = "springs-key";

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Starts a site with two workspaces.
async fn open() -> TestSite {
    let options = SiteOptions {
        revocation: Some(Millis(REVOCATION_LIMIT)),
        ..SiteOptions::default()
    };
    let mut site = TestSite::open(options).await.unwrap();
    site.put_workspaces(&[("foam", &[FOAM_KEY]), ("springs", &[SPRINGS_KEY])]);
    // Until the configuration is in force; users allow more time.
    sleep(500).await;
    site
}

async fn call(site: &TestSite, gateway: usize, id: &str, headers: &[(&str, &str)]) -> Option<u16> {
    let mut all = vec![("x-attempt-id", id), ("x-deadline-ms", "1500")];
    all.extend_from_slice(headers);
    let answer = site.send(gateway, Method::POST, "/safe/x", &all, id.to_owned());
    Some(answer.await?.status.as_u16())
}

/// How many times the plain servers ran the request with this id.
fn runs_of(site: &TestSite, id: &str) -> usize {
    site.plain.iter().map(|plain| plain.runs_of(id)).sum()
}

/// A call must run under the workspace of its key, whatever workspace its headers name, and
/// servers must not receive the key: gateways used to forward both headers, and ran calls
/// without a key. Calls with unknown, empty or repeated keys must be denied without a run.
#[tokio::test(flavor = "multi_thread")]
async fn calls_run_under_the_workspace_of_their_key() {
    struct Test {
        headers: &'static [(&'static str, &'static str)],
        id: &'static str,
        status: u16,
    }

    let site = open().await;
    for test in [
        Test {
            headers: &[("x-api-key", FOAM_KEY)],
            id: "own",
            status: 200,
        },
        Test {
            headers: &[("X-Api-Key", FOAM_KEY), ("X-Tenant", "springs")],
            id: "claims",
            status: 200,
        },
        Test {
            headers: &[],
            id: "none",
            status: 401,
        },
        Test {
            headers: &[("x-tenant", "foam")],
            id: "only-claims",
            status: 401,
        },
        Test {
            headers: &[("x-api-key", "")],
            id: "empty",
            status: 401,
        },
        Test {
            headers: &[("x-api-key", "foam-key-on")],
            id: "shorter",
            status: 401,
        },
        Test {
            headers: &[("x-api-key", FOAM_KEY), ("x-api-key", SPRINGS_KEY)],
            id: "doubled",
            status: 401,
        },
    ] {
        let status = call(&site, 0, test.id, test.headers).await;
        assert_eq!(status, Some(test.status), "{}", test.id);
        let runs = usize::from(test.status == 200);
        assert_eq!(runs_of(&site, test.id), runs, "{}", test.id);
    }
    for identity in site.plain.iter().flat_map(PlainServer::identities) {
        assert_eq!(identity.key, None, "{}", identity.request);
        assert_eq!(identity.workspace.as_deref(), Some("foam"));
    }
}

/// A trainer's batch belongs to its workspace. Callers of another workspace can neither read
/// nor end it, and get the same 404 as for a batch that doesn't exist; batch ids are local to
/// a workspace. If the key with which the batch was submitted is removed, the batch must
/// continue, and the workspace's next key can read it.
#[tokio::test(flavor = "multi_thread")]
async fn batches_belong_to_their_workspace() {
    let mut site = open().await;
    for engine in &site.engines {
        engine.set_event_time(Millis(40));
    }
    let batch = Batch::new("mine", 2, 3, 20);
    let path = format!("/roll/{}", batch.id);
    let submit = |key: &'static str| {
        let headers = [("x-attempt-id", "mine"), ("x-api-key", key)];
        let (site, path, body) = (&site, path.clone(), batch.body());
        async move {
            site.send(0, Method::POST, &path, &headers, body)
                .await
                .unwrap()
                .status
                .as_u16()
        }
    };
    assert_eq!(submit("nobodys").await, 401);
    assert_eq!(submit(FOAM_KEY).await, 202);
    assert_eq!(submit(FOAM_KEY).await, 202);

    let calls = [
        (Method::GET, "/redwingpond/lots/mine?startAfter=0"),
        (Method::GET, "/redwingpond/items/mine?id=minex0x0"),
        (Method::DELETE, "/redwingpond/lots/mine"),
    ];
    for (method, path) in &calls {
        for (key, expected) in [(SPRINGS_KEY, 404), ("nobodys", 401)] {
            let headers = [("x-api-key", key)];
            let answer = site
                .send(1, method.clone(), path, &headers, "")
                .await
                .unwrap();
            assert_eq!(
                answer.status.as_u16(),
                expected,
                "{method} {path} with {key}"
            );
        }
    }
    let headers = [("x-api-key", FOAM_KEY)];
    let body = site
        .send(1, Method::GET, calls[1].1, &headers, "")
        .await
        .unwrap();
    assert_eq!(body.status, 200);

    site.put_workspaces(&[("foam", &[FOAM_NEXT_KEY]), ("springs", &[SPRINGS_KEY])]);
    sleep(REVOCATION_LIMIT).await;
    let read = |key: &'static str| {
        let site = &site;
        async move {
            let headers = [("x-api-key", key), ("x-wait-ms", "200")];
            let path = "/redwingpond/lots/mine?startAfter=0";
            site.send(0, Method::GET, path, &headers, "").await.unwrap()
        }
    };
    assert_eq!(read(FOAM_KEY).await.status, 401);
    let until = site.clock.now() + Millis(15_000);
    loop {
        let answer = read(FOAM_NEXT_KEY).await;
        assert_eq!(answer.status, 200);
        let page: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        if page["results"].as_array().map_or(0, Vec::len) == 6 {
            break;
        }
        assert!(site.clock.now() < until, "{page}");
        sleep(100).await;
    }
    for run in site.engines.iter().flat_map(Engine::runs) {
        assert_eq!(run.identity.workspace.as_deref(), Some("foam"));
        assert_eq!(run.identity.key, None);
    }
    for identity in site.plain.iter().flat_map(PlainServer::identities) {
        assert_eq!(
            (identity.workspace, identity.key),
            (None, None),
            "{}",
            identity.request
        );
    }
}

/// A key is removed during an outage of the store. Gateways used to serve the key until the
/// outage was over. They must refuse all requests with keys, unrun, once the store hasn't
/// confirmed their configuration for too long. After the outage, the removed key must be
/// denied and others served.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_stops_working_during_a_store_outage() {
    for outage in [Outage::Silent, Outage::Busy, Outage::Reset] {
        let mut site = open().await;
        assert_eq!(
            call(&site, 0, "before", &[("x-api-key", FOAM_KEY)]).await,
            Some(200)
        );
        let faults = StoreFaults {
            outage,
            ..StoreFaults::default()
        };
        site.store.set_faults(faults);
        site.put_workspaces(&[("foam", &[FOAM_NEXT_KEY]), ("springs", &[SPRINGS_KEY])]);
        let revoked = site.clock.now();
        let mut refused = 0;
        for round in 0..30 {
            let id = format!("late-{round}");
            let late = site.clock.now().since(revoked) >= Millis(REVOCATION_LIMIT);
            let status = call(&site, round % 2, &id, &[("x-api-key", FOAM_KEY)]).await;
            let runs = runs_of(&site, &id);
            if late {
                assert_eq!((status, runs), (Some(503), 0), "{outage:?} {id}");
                refused += 1;
            }
            if status == Some(503) {
                assert_eq!(runs, 0, "{outage:?} {id}: a refused call has run");
            }
            sleep(100).await;
        }
        assert!(refused > 0, "{outage:?}");

        site.store.set_faults(StoreFaults::default());
        sleep(1_500).await;
        assert_eq!(
            call(&site, 0, "gone", &[("x-api-key", FOAM_KEY)]).await,
            Some(401)
        );
        assert_eq!(runs_of(&site, "gone"), 0);
        for gateway in 0..2 {
            let id = format!("after-{gateway}");
            let status = call(&site, gateway, &id, &[("x-api-key", SPRINGS_KEY)]).await;
            assert_eq!(status, Some(200), "{outage:?} {id}");
        }
    }
}

/// A caller uses a new key as soon as an operator has added it. Gateways that hadn't learnt
/// of the key answered 401, which callers don't retry. A gateway must check the newest
/// configuration in the store before it denies a key; without the store it must answer 503.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_key_is_accepted_at_once() {
    let mut site = open().await;
    for round in 0..10 {
        let key = format!("new-key-{round}");
        site.put_workspaces(&[("foam", &[FOAM_KEY, &key])]);
        let id = format!("new-{round}");
        let status = call(&site, round % 2, &id, &[("x-api-key", &key)]).await;
        assert_eq!(status, Some(200), "{id}");
    }
    site.store.set_faults(StoreFaults {
        outage: Outage::Silent,
        ..StoreFaults::default()
    });
    let status = call(&site, 0, "unknown", &[("x-api-key", "unknown")]).await;
    assert_eq!((status, runs_of(&site, "unknown")), (Some(503), 0));
}

/// A key is removed while the store is silent, and its caller keeps calling while the store
/// recovers. A gateway authenticated the key by the old configuration, had the store confirm
/// the newest one, and then served the call by its first decision: the removed key worked once
/// more, long after its time limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_removed_key_stays_invalid_when_the_store_recovers() {
    for round in 0..4 {
        let mut site = open().await;
        site.store.set_faults(StoreFaults {
            outage: Outage::Silent,
            ..StoreFaults::default()
        });
        site.put_workspaces(&[("springs", &[SPRINGS_KEY])]);
        sleep(REVOCATION_LIMIT + 500 + 90 * round).await;
        site.store.set_faults(StoreFaults::default());

        let calls = (0..400).map(|number| {
            let (site, id) = (&site, format!("gone-{round}-{number}"));
            async move {
                sleep(2 * number).await;
                let status = call(site, number as usize % 2, &id, &[("x-api-key", FOAM_KEY)]).await;
                (status, runs_of(site, &id))
            }
        });
        for (status, runs) in futures_util::future::join_all(calls).await {
            assert_eq!(runs, 0, "a call with a removed key has run");
            assert!(matches!(status, Some(401 | 503)), "{status:?}");
        }
    }
}
