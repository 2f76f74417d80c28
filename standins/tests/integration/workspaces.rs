//! Keys and workspaces on the users' platform: whose calls are served, under which
//! workspace, and how old the configuration may be.

use hyper::Method;
use redwing_standins::site::{
    Batch,
    Engine,
    Outage,
    Plain,
    Scene,
    Shape,
    StoreFaults, //
};
use redwingpond::base::Millis;
use std::time::Duration;

/// The time within which a revoked key must stop working on these sites, in ms.
const MAX_REVOCATION_TIME: u64 = 2_000;

const FOAM_KEY: &str = "foam-key-one";
const FOAM_NEW_KEY: &str = "foam-key-two";
const SPRINGS_KEY: &str = "springs-key";

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// Opens a site with the workspaces `foam` and `springs`.
async fn open() -> Scene {
    let shape = Shape {
        revocation: Some(Millis(MAX_REVOCATION_TIME)),
        ..Shape::default()
    };
    let mut scene = Scene::open(shape).await.unwrap();
    scene.put_workspaces(&[("foam", &[FOAM_KEY]), ("springs", &[SPRINGS_KEY])]);
    // The gateways use the new configuration by then; the users allow more.
    sleep(500).await;
    scene
}

/// Sends a call with `headers`; returns its status.
async fn call(scene: &Scene, gateway: usize, id: &str, headers: &[(&str, &str)]) -> Option<u16> {
    let mut all = vec![("x-attempt-id", id), ("x-deadline-ms", "1500")];
    all.extend_from_slice(headers);
    let answer = scene.send(gateway, Method::POST, "/safe/x", &all, id.to_owned());
    Some(answer.await?.status.as_u16())
}

/// How often the servers ran the call.
fn runs_of(scene: &Scene, id: &str) -> usize {
    scene.plain.iter().map(|plain| plain.runs_of(id)).sum()
}

/// A call with a key runs under the key's workspace. Servers used to get the key
/// itself, they believed any workspace that the caller claimed, and calls without a key
/// ran. Calls with unknown, repeated or empty keys must be refused without running.
#[tokio::test(flavor = "multi_thread")]
async fn calls_run_under_their_workspaces_name() {
    struct Test {
        headers: &'static [(&'static str, &'static str)],
        id: &'static str,
        status: u16,
    }

    let scene = open().await;
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
        let status = call(&scene, 0, test.id, test.headers).await;
        assert_eq!(status, Some(test.status), "{}", test.id);
        let runs = usize::from(test.status == 200);
        assert_eq!(runs_of(&scene, test.id), runs, "{}", test.id);
    }
    for asker in scene.plain.iter().flat_map(Plain::askers) {
        assert_eq!(asker.key, None, "{}", asker.request);
        assert_eq!(asker.workspace.as_deref(), Some("foam"));
    }
}

/// A batch belongs to its trainer's workspace. Callers of other workspaces can neither
/// read nor end it, and get the same answer as for a batch that does not exist. When
/// the key with which it was submitted is revoked, the batch continues, and the
/// workspace's next key reads it.
#[tokio::test(flavor = "multi_thread")]
async fn batches_belong_to_their_workspace() {
    let mut scene = open().await;
    for engine in &scene.engines {
        engine.set_event(Millis(40));
    }
    let batch = Batch::new("mine", 2, 3, 20);
    let path = format!("/roll/{}", batch.id);
    let submit = |key: &'static str| {
        let headers = [("x-attempt-id", "mine"), ("x-api-key", key)];
        let (scene, path, body) = (&scene, path.clone(), batch.body());
        async move {
            scene
                .send(0, Method::POST, &path, &headers, body)
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
        for (key, wanted) in [(SPRINGS_KEY, 404), ("nobodys", 401)] {
            let headers = [("x-api-key", key)];
            let answer = scene
                .send(1, method.clone(), path, &headers, "")
                .await
                .unwrap();
            assert_eq!(answer.status.as_u16(), wanted, "{method} {path} with {key}");
        }
    }
    let headers = [("x-api-key", FOAM_KEY)];
    let body = scene
        .send(1, Method::GET, calls[1].1, &headers, "")
        .await
        .unwrap();
    assert_eq!(body.status, 200);

    scene.put_workspaces(&[("foam", &[FOAM_NEW_KEY]), ("springs", &[SPRINGS_KEY])]);
    sleep(MAX_REVOCATION_TIME).await;
    let read = |key: &'static str| {
        let scene = &scene;
        async move {
            let headers = [("x-api-key", key), ("x-wait-ms", "200")];
            let path = "/redwingpond/lots/mine?startAfter=0";
            scene
                .send(0, Method::GET, path, &headers, "")
                .await
                .unwrap()
        }
    };
    assert_eq!(read(FOAM_KEY).await.status, 401);
    let until = scene.clock.now() + Millis(15_000);
    loop {
        let answer = read(FOAM_NEW_KEY).await;
        assert_eq!(answer.status, 200);
        let page: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
        if page["results"].as_array().map_or(0, Vec::len) == 6 {
            break;
        }
        assert!(scene.clock.now() < until, "{page}");
        sleep(100).await;
    }
    for run in scene.engines.iter().flat_map(Engine::runs) {
        assert_eq!(run.asker.workspace.as_deref(), Some("foam"));
        assert_eq!(run.asker.key, None);
    }
    for asker in scene.plain.iter().flat_map(Plain::askers) {
        assert_eq!(
            (asker.workspace, asker.key),
            (None, None),
            "{}",
            asker.request
        );
    }
}

/// A key is revoked while the store is unreachable. A gateway without news of it served
/// the key as long as the outage lasted. It must refuse requests with keys once its
/// configuration has not been confirmed for too long, and none of the refused requests
/// may run. When the store is back, the revoked key is refused for good and other keys
/// are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stops_working_during_an_outage() {
    for outage in [Outage::Silent, Outage::Busy, Outage::Reset] {
        let mut scene = open().await;
        assert_eq!(
            call(&scene, 0, "before", &[("x-api-key", FOAM_KEY)]).await,
            Some(200)
        );
        let faults = StoreFaults {
            outage,
            ..StoreFaults::default()
        };
        scene.store.set_faults(faults);
        scene.put_workspaces(&[("foam", &[FOAM_NEW_KEY]), ("springs", &[SPRINGS_KEY])]);
        let revoked = scene.clock.now();
        let mut refused = 0;
        for round in 0..30 {
            let id = format!("late-{round}");
            let late = scene.clock.now().since(revoked) >= Millis(MAX_REVOCATION_TIME);
            let status = call(&scene, round % 2, &id, &[("x-api-key", FOAM_KEY)]).await;
            let runs = runs_of(&scene, &id);
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

        scene.store.set_faults(StoreFaults::default());
        sleep(1_500).await;
        assert_eq!(
            call(&scene, 0, "gone", &[("x-api-key", FOAM_KEY)]).await,
            Some(401)
        );
        assert_eq!(runs_of(&scene, "gone"), 0);
        for gateway in 0..2 {
            let id = format!("after-{gateway}");
            let status = call(&scene, gateway, &id, &[("x-api-key", SPRINGS_KEY)]).await;
            assert_eq!(status, Some(200), "{outage:?} {id}");
        }
    }
}

/// An operator adds a key, and its user calls at once. A gateway that did not know the
/// key yet answered 401, which no caller retries. It must ask the store before it
/// refuses a key. While the store is unreachable, it must answer 503, which callers
/// retry.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_key_is_not_refused() {
    let mut scene = open().await;
    for round in 0..10 {
        let key = format!("new-key-{round}");
        scene.put_workspaces(&[("foam", &[FOAM_KEY, &key])]);
        let id = format!("new-{round}");
        let status = call(&scene, round % 2, &id, &[("x-api-key", &key)]).await;
        assert_eq!(status, Some(200), "{id}");
    }
    scene.store.set_faults(StoreFaults {
        outage: Outage::Silent,
        ..StoreFaults::default()
    });
    let status = call(&scene, 0, "unknown", &[("x-api-key", "unknown")]).await;
    assert_eq!((status, runs_of(&scene, "unknown")), (Some(503), 0));
}

/// A key is revoked while the store is silent, and its caller retries as the store
/// returns. A gateway checked the key by its old configuration, had the store confirm
/// the newest one, and then admitted the caller by the result of the first check: the
/// revoked key worked once more.
#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stays_refused_when_the_store_returns() {
    for round in 0..4 {
        let mut scene = open().await;
        scene.store.set_faults(StoreFaults {
            outage: Outage::Silent,
            ..StoreFaults::default()
        });
        scene.put_workspaces(&[("springs", &[SPRINGS_KEY])]);
        sleep(MAX_REVOCATION_TIME + 500 + 90 * round).await;
        scene.store.set_faults(StoreFaults::default());

        let calls = (0..400).map(|number| {
            let (scene, id) = (&scene, format!("gone-{round}-{number}"));
            async move {
                sleep(2 * number).await;
                let status =
                    call(scene, number as usize % 2, &id, &[("x-api-key", FOAM_KEY)]).await;
                (status, runs_of(scene, &id))
            }
        });
        for (status, runs) in futures_util::future::join_all(calls).await {
            assert_eq!(runs, 0, "a call with a revoked key has run");
            assert!(matches!(status, Some(401 | 503)), "{status:?}");
        }
    }
}
