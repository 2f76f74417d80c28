//! Connections of a whole site: how many are opened to a server, and which are kept when runs
//! are stopped.

use hyper::Method;
use redwing_standins::site::{
    Batch,
    PlainFault,
    PlainServer,
    SiteOptions,
    TestSite, //
};
use redwingpond::{
    base::Millis,
    policy::load_features::LoadFeatures, //
};
use std::time::Duration;

const RESULTS_TIMEOUT: Millis = Millis(20_000);

/// The deployment asks for limited connections.
const LIMITED: LoadFeatures = LoadFeatures {
    conditions: false,
    connections: true,
    handover: false,
    memory: false,
    queue: false,
    uneven: false,
};

fn options(features: LoadFeatures) -> SiteOptions {
    SiteOptions {
        engines: 1,
        features,
        gateways: 1,
        plain: 1,
        ..SiteOptions::default()
    }
}

async fn sleep(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}

/// A batch of four items, as many as the engine has slots.
fn batch(id: &str, events: u64) -> Batch {
    Batch {
        hinted: true,
        ..Batch::new(id, 1, 4, events)
    }
}

/// A trainer ends a batch while its four items run, and submits the next. Guards against
/// connections that are closed shortly before the ends of their streams, and against streams
/// that keep the engine busy for nobody: because their rest is long, the next batch wants the
/// slots, or the deployment doesn't ask for it.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_runs_keep_their_connections_near_their_end() {
    struct Test {
        events: u64,
        features: LoadFeatures,
        kept: bool,
        /// The time until the next batch.
        pause: u64,
    }

    let near = Test {
        events: 90,
        features: LIMITED,
        kept: true,
        pause: 1_500,
    };
    let tests = [
        Test { ..near },
        Test {
            events: 400,
            kept: false,
            ..near
        },
        Test {
            kept: false,
            pause: 0,
            ..near
        },
        Test {
            features: LoadFeatures::default(),
            kept: false,
            ..near
        },
    ];
    let checks = tests.map(|test| async move {
        let site = TestSite::open(options(test.features)).await.unwrap();
        let engine = &site.engines[0];
        engine.set_event_time(Millis(8));
        // The runner measures the engine's speed.
        let first = batch("first", 120);
        assert_eq!(site.submit(0, &first).await, Some(202));
        let results = site.read_results(&first, 4, RESULTS_TIMEOUT).await;
        assert_eq!(results.len(), 4);

        let stopped = batch("stopped", test.events);
        assert_eq!(site.submit(0, &stopped).await, Some(202));
        while engine.runs().len() < 8 {
            sleep(5).await;
        }
        sleep(200).await;
        let before = engine.connections();
        assert_eq!(site.end_batch(0, &stopped).await, Some(200));
        sleep(test.pause).await;
        let next = batch("next", 5);
        assert_eq!(site.submit(0, &next).await, Some(202));
        let results = site.read_results(&next, 4, RESULTS_TIMEOUT).await;
        assert_eq!(results.len(), 4);
        let opened = engine.connections() - before;
        let (events, pause) = (test.events, test.pause);
        match test.kept {
            true => assert_eq!(opened, 0, "{events} {pause}"),
            // The poll of the engine's report may have left one to reuse.
            false => assert!(opened >= 3, "{events} {pause}: {opened}"),
        }
        // Streams that should have been closed would end by now.
        sleep(1_000).await;
        let ended = if test.kept { 12 } else { 8 };
        assert_eq!(engine.ended_runs(), ended, "{events} {pause}");
        let scored = site.plain[0].runs_with_prefix("score-stopped");
        assert_eq!(scored, 0, "an unneeded text was scored");
    });
    futures_util::future::join_all(checks).await;
}

/// Ten calls arrive at a gateway at once, for a server that accepts a limited number of
/// connections. Guards against one connection for each, and against calls that fail because
/// they wait for one.
#[tokio::test(flavor = "multi_thread")]
async fn calls_share_few_connections_to_a_server() {
    struct Test {
        features: LoadFeatures,
        most: u64,
    }

    for test in [
        // It is not known how many instances call the service.
        Test {
            features: LIMITED,
            most: 2,
        },
        Test {
            features: LoadFeatures::default(),
            most: 10,
        },
    ] {
        let site = TestSite::open(options(test.features)).await.unwrap();
        let server = &site.plain[0];
        server.set_service_time(Millis(100));
        let calls = (0..10).map(|number| {
            let site = &site;
            async move {
                let id = format!("call-{number}");
                let headers = [("x-attempt-id", id.as_str())];
                let answer = site.send(0, Method::POST, "/once/x", &headers, "x").await;
                answer.map(|answer| answer.status.as_u16())
            }
        });
        let answers = futures_util::future::join_all(calls).await;
        assert!(
            answers.iter().all(|status| *status == Some(200)),
            "{answers:?}"
        );
        assert_eq!(server.connections(), test.most);
    }
}

/// A server with as many unanswered calls as the limit allows restarts at the same address.
/// Guards against the calls to the new incarnation waiting for connections to the previous one.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_server_gets_new_connections() {
    let site = TestSite::open(options(LIMITED)).await.unwrap();
    let server = &site.plain[0];
    server.set_fault(PlainFault::Mute);
    let call = async |id: &str| {
        let headers = [("x-attempt-id", id)];
        let answer = site.send(0, Method::POST, "/once/x", &headers, "x").await;
        answer.map(|answer| answer.status.as_u16())
    };
    let restart = async {
        while server.run_count() < 2 {
            sleep(5).await;
        }
        server.set_fault(PlainFault::None);
        server.restart("plain-next");
        site.store.put("servers", &server.id, None);
        site.announce("plain-next", "plain", server.address, "ready");
        sleep(300).await;
        let begun = site.clock.now();
        assert_eq!(call("third").await, Some(200));
        let taken = site.clock.now().since(begun);
        assert!(taken < Millis(600), "{taken}");
    };
    // The first two calls time out after 2 s.
    tokio::join!(call("first"), call("second"), restart);
}

/// Calls wait for a connection to a server that begins to drain meanwhile. They were sent to it long
/// after that, and lost when it left, while another server was idle.
#[tokio::test(flavor = "multi_thread")]
async fn calls_that_wait_for_a_connection_leave_a_draining_server() {
    for path in ["/live/x", "/once/x"] {
        let mut site = TestSite::open(options(LIMITED)).await.unwrap();
        site.put_config(serde_json::json!([{
            "name": "live", "host": "site.example", "pathPrefix": "/live/",
            "routeType": "streaming", "timeoutMs": 10_000, "targetLatencyMs": 200, "priority": 1,
            "maxAttempts": 3, "service": "plain",
        }]));
        let server = &site.plain[0];
        server.set_service_time(Millis(1_500));
        let call = async |number: u64| {
            sleep(10 * number).await;
            let id = format!("call-{number}");
            let headers = [("x-attempt-id", id.as_str())];
            let answer = site.send(0, Method::POST, path, &headers, "x").await;
            answer.map(|answer| answer.status.as_u16())
        };
        let next = PlainServer::open("next").await.unwrap();
        let drain = async {
            while server.run_count() < 2 {
                sleep(5).await;
            }
            // The other server is known before this one drains.
            site.announce("next", "plain", next.address, "ready");
            sleep(400).await;
            site.announce("plain-0", "plain", server.address, "draining");
        };
        let calls = futures_util::future::join_all((0..6).map(call));
        let (statuses, ()) = tokio::join!(calls, drain);
        assert_eq!(statuses, vec![Some(200); 6], "{path}");
        assert_eq!((server.run_count(), next.run_count()), (2, 4), "{path}");
    }
}
