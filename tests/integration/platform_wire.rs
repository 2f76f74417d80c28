//! Decoding of what the platform and callers send, and the headers that gateways and
//! runners forward.

use hyper::{
    HeaderMap,
    Method,
    header::{HeaderName, HeaderValue}, //
};
use proptest::prelude::*;
use redwingpond::{
    base::Millis,
    batch::stored_name,
    platform::{
        BatchCall,
        EngineRequest,
        EventReader,
        Ingress,
        classify,
        credential,
        forwarded_request_headers,
        is_client_path,
        read_config,
        read_server,
        read_submission,
        server_load, //
    },
    policy::server_load::ServerLoad,
    routing::{Credential, KeyDigest, RouteKind}, //
};

/// Events are read from a stream whatever the sizes of its chunks. An incomplete event
/// at the end is left out.
#[test]
fn only_complete_events_are_read() {
    let stream = "x-weight-versions: 3\nid: 0\ndata: a\n\nid: 1\ndata: b\ndata: c\n\nid: 2\ndat";
    for step in 1..stream.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for bytes in stream.as_bytes().chunks(step) {
            reader.push(bytes);
            while let Some(event) = reader.next_event() {
                events.push((event.id, event.data, event.version));
            }
        }
        let expected = [
            (Some(0), "a".to_owned(), Some(3)),
            (Some(1), "b\nc".to_owned(), None),
        ];
        assert_eq!(events, expected, "in steps of {step}");
        assert!(reader.has_incomplete_event());
    }
}

/// Calls about a batch are recognized by method and path; all others go by their route.
#[test]
fn calls_are_classified() {
    struct Test {
        call: Ingress,
        method: Method,
        path: &'static str,
    }

    let batch_call = |call| Ingress::Batch {
        batch: "b1".to_owned(),
        call,
    };
    let results = |from| {
        batch_call(BatchCall::Results {
            from,
            wait: Millis(900),
        })
    };
    for test in [
        Test {
            call: results(12),
            method: Method::GET,
            path: "/redwingpond/lots/b1?startAfter=12",
        },
        Test {
            call: results(0),
            method: Method::GET,
            path: "/redwingpond/lots/b1",
        },
        Test {
            call: Ingress::Malformed,
            method: Method::GET,
            path: "/redwingpond/lots/b1?startAfter=x",
        },
        Test {
            call: batch_call(BatchCall::End),
            method: Method::DELETE,
            path: "/redwingpond/lots/b1",
        },
        Test {
            call: batch_call(BatchCall::ItemBody {
                item: "i2".to_owned(),
            }),
            method: Method::GET,
            path: "/redwingpond/items/b1?id=i2",
        },
        Test {
            call: Ingress::Malformed,
            method: Method::GET,
            path: "/redwingpond/items/b1",
        },
        Test {
            call: Ingress::Routed,
            method: Method::POST,
            path: "/any/thing",
        },
    ] {
        let mut headers = HeaderMap::new();
        headers.insert("x-wait-ms", "900".parse().unwrap());
        let uri = test.path.parse().unwrap();
        assert_eq!(
            classify(&test.method, &uri, &headers),
            test.call,
            "{}",
            test.path
        );
    }
}

/// A client could command servers with a path that the platform reserves, or have a request sent to
/// another path than it named.
#[test]
fn clients_name_no_reserved_paths() {
    struct Test {
        allowed: bool,
        path: &'static str,
    }

    let test = |path, allowed| Test { allowed, path };
    for Test { allowed, path } in [
        test("/", true),
        test("/roll/run/1", true),
        test("/roll/run?x=/redwingpond/order", true),
        test("/roll/redwingpond/order", true),
        test("/redwingponds/order", true),
        test("/roll/%C3%A4", true),
        test("", false),
        test("roll/1", false),
        test("*", false),
        test("http://site.example/roll/1", false),
        test("/roll/a b", false),
        test("/roll/a\r\nx: y", false),
        test("/roll/1#part", false),
        test("/redwingpond/order", false),
        test("/redwingpond", false),
        test("/redwingpond/", false),
        test("/redwingpond/kv-move?x=1", false),
        test("/Redwingpond/order", false),
        test("//redwingpond/order", false),
        test("/./redwingpond/order", false),
        test("/roll/../redwingpond/order", false),
        test("/%72edwingpond/order", false),
        test("/%2Fredwingpond%2forder", false),
        test("/roll/%2e%2e/redwingpond/order", false),
    ] {
        assert_eq!(is_client_path(path), allowed, "{path:?}");
        if let Ok(uri) = path.parse()
            && !allowed
            && path.starts_with('/')
            && !path.contains('#')
        {
            let ingress = classify(&Method::POST, &uri, &HeaderMap::new());
            assert_eq!(ingress, Ingress::Malformed, "{path:?}");
        }
    }
}

/// Headers that concern one connection, those that the gateway sets, and those that the
/// caller lists in `connection` are not forwarded.
#[test]
fn only_end_to_end_headers_are_forwarded() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("host", "h"),
        ("connection", "x-mine, close"),
        ("x-mine", "1"),
        ("x-deadline-ms", "5"),
        ("x-expect-instance", "smuggled"),
        ("transfer-encoding", "chunked"),
        ("x-model", "m"),
        ("x-attempt-id", "a"),
    ] {
        headers.append(name, value.parse().unwrap());
    }
    let forwarded = forwarded_request_headers(&headers);
    let mut names: Vec<&str> = forwarded
        .keys()
        .map(hyper::header::HeaderName::as_str)
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["host", "x-attempt-id", "x-model"]);
}

proptest! {
    /// A caller's key and the workspace that it claims are never forwarded to a server,
    /// whatever their case, number, length or bytes.
    #[test]
    fn no_key_is_forwarded(
        key in proptest::collection::vec(33_u8..=255, 0..300),
        claimed in "[a-z0-9]{8,40}",
        upper in proptest::collection::vec(any::<bool>(), 16),
        doubled in any::<bool>(),
    ) {
        let cased = |name: &str| -> String {
            let letters = name.chars().zip(upper.iter().cycle());
            letters.map(|(c, up)| if *up { c.to_ascii_uppercase() } else { c }).collect()
        };
        let name = |name: &str| HeaderName::try_from(cased(name)).unwrap();
        let key: Vec<u8> = key.into_iter().filter(|byte| *byte != 127).collect();
        let mut headers = HeaderMap::new();
        headers.append(name("x-model"), "m".parse().unwrap());
        for _ in 0..=usize::from(doubled) {
            headers.append(name("x-api-key"), HeaderValue::from_bytes(&key).unwrap());
            headers.append(name("x-tenant"), claimed.parse().unwrap());
        }
        let forwarded = forwarded_request_headers(&headers);
        let sent: Vec<(&str, &[u8])> =
            forwarded.iter().map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
        prop_assert_eq!(sent, vec![("x-model", &b"m"[..])]);

        let wanted = match (doubled, key.is_empty()) {
            (false, false) => Credential::Key(KeyDigest::of(&key)),
            _ => Credential::Malformed,
        };
        prop_assert_eq!(credential(&headers), wanted);
    }
}

/// A trainer's items run under the trainer's workspace, whatever headers the items
/// have.
#[test]
fn an_item_runs_in_its_workspaces_name() {
    let headers = r#"{"X-Tenant":"other","x-api-key":"secret","X-Model":"m"}"#;
    let item = format!(r#"{{"items":[{{"id":"a","path":"/c/1","headers":{headers}}}]}}"#);
    let batch = read_submission("b", "h", "/c/b", item.as_bytes()).unwrap();
    let item = batch.item(0).unwrap();
    for workspace in [None, Some("foam")] {
        let request = EngineRequest {
            after: None,
            host: "h",
            item: &item,
            timeout: Millis(5),
            priority: Some(40),
            server: "s",
            workspace,
        };
        let request = request.build();
        let value = |name: &str| {
            request
                .headers()
                .get(name)
                .map(|value| value.to_str().unwrap())
        };
        assert_eq!(value("x-tenant"), workspace);
        assert_eq!(value("x-api-key"), None);
        assert_eq!(value("x-model"), Some("m"));
        assert_eq!(value("x-request-priority"), Some("9"));
    }
}

/// Each workspace has its own batch ids, and none can name another's batch.
#[test]
fn batches_are_stored_under_names_by_workspace() {
    let foam = stored_name(Some("foam"), "b1").unwrap();
    assert_ne!(stored_name(Some("springs"), "b1"), Some(foam.clone()));
    assert_eq!(stored_name(None, "b1"), Some("b1".to_owned()));
    assert_eq!(stored_name(None, &foam), None);
    assert_ne!(stored_name(Some("springs"), &foam), Some(foam));
}

/// A configuration with routes, services, workspaces and limits, as the platform stores
/// it.
const CONFIG: &str = r#"{"version":7,"unknown":1,"routes":[
    {"name":"a","host":"h","pathPrefix":"/a/","routeType":"safe","timeoutMs":1500,
     "trafficSplit":[{"service":"x","weight":90},{"service":"y","weight":10}],"maxAttempts":2},
    {"name":"b","host":"h","pathPrefix":"/a/b/","routeType":"streaming","resumable":true,"service":"y"},
    {"name":"c","host":"h","pathPrefix":"/c/","routeType":"rollout","service":"x","itemTtlS":40,
     "resultDeadlineMs":7500,"maxAttempts":3,"singleVersion":true}],
    "services":[{"name":"x","engine":{"models":[{"name":"m"}]}},{"name":"y"}],
    "tenants":[{"name":"foam","apiKeys":["f-1","f-2"],"priority":3},{"name":"empty"}],
    "limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// A configuration is decoded, and routes are found by host and longest prefix.
#[test]
fn a_configuration_is_decoded() {
    let config = read_config(CONFIG.as_bytes()).unwrap();
    assert_eq!(config.version, 7);
    let name = |path: &str| config.route("h", path).map(|route| route.name.clone());
    assert_eq!(name("/a/x"), Some("a".to_owned()));
    assert_eq!(name("/a/b/x"), Some("b".to_owned()));
    assert_eq!(name("/a"), None);
    assert_eq!(config.route("other", "/a/x").map(|r| r.name.clone()), None);

    let batch = config.route("h", "/c/1").unwrap();
    assert_eq!(batch.kind, RouteKind::Batch);
    assert_eq!(
        (batch.item_ttl, batch.result_deadline),
        (Millis(40_000), Millis(7_500))
    );
    assert!(batch.single_version);
    assert_eq!(config.service("x").unwrap().models.len(), 1);

    let workspaces = config.workspaces.as_ref().unwrap();
    let holder = |key: &str| workspaces.by_key(&KeyDigest::of(key.as_bytes()));
    assert_eq!(holder("f-2").unwrap().name, "foam");
    assert_eq!(holder("f-2").unwrap().priority, Some(3));
    assert!(holder("empty").is_none());
    assert!(!batch.allow_anonymous);

    // A traffic split gives each service its share, and always sends the same request
    // to the same service.
    let split = config.route("h", "/a/x").unwrap();
    let to_y = (0..10_000).filter(|n| split.service_of(&n.to_string()) == Some("y"));
    let to_y = to_y.count();
    assert!((800..1_200).contains(&to_y), "{to_y}");
    assert_eq!(split.service_of("same"), split.service_of("same"));
}

/// An error names the field or route that is wrong.
#[test]
fn errors_name_what_is_wrong() {
    struct Test {
        from: &'static str,
        to: &'static str,
        message: &'static str,
    }

    for test in [
        Test {
            from: "\"safe\"",
            to: "\"other\"",
            message: "route `a` has the unknown type `other`",
        },
        Test {
            from: "\"version\":7,",
            to: "",
            message: "missing field `version`",
        },
    ] {
        let text = CONFIG.replace(test.from, test.to);
        let error = read_config(text.as_bytes()).unwrap_err().to_string();
        assert!(error.contains(test.message), "{error}");
    }
    assert!(read_server("s", b"{}").is_err());
    let error = read_submission("b", "h", "/c/b", br#"{"items":[]}"#);
    let error = error.err().unwrap();
    assert!(error.to_string().contains("no items"), "{error}");
}

/// A server's announcement is decoded.
#[test]
fn a_server_is_decoded() {
    let entry =
        br#"{"service":"x","address":"10.0.0.1:80","zone":"n","version":"v1","batchSlots":12,
        "state":"draining","coldRemainingMs":0,"models":[{"name":"m","version":3,"adapters":[]}],
        "sequence":4,"born":1764720000123}"#;
    let server = read_server("i-1", entry).unwrap();
    assert!(server.draining);
    assert_eq!(server.incarnation.id, "i-1");
    assert_eq!(server.incarnation.started_at, Millis(1_764_720_000_123));
    assert_eq!((server.slots, server.data_centre.as_str()), (12, "n"));
    assert_eq!(server.models[0].version, 3);
}

/// A valid announcement of a server, as text.
const ANNOUNCEMENT: &str = r#"{"service":"x","address":"10.0.0.1:80","zone":"n","version":"v1",
    "batchSlots":12,"state":"ready","coldRemainingMs":0,"stage":"both",
    "models":[{"name":"m","version":3,"adapters":[]}],"sequence":4,"born":1764720000123}"#;

/// An operator's script or an older program writes among the servers' announcements.
/// Calls went to the server that such an entry seemed to name, since any state but
/// `draining` counted as ready. A malformed entry must name no server.
#[test]
fn a_malformed_announcement_names_no_server() {
    struct Test {
        from: &'static str,
        to: &'static str,
    }

    assert!(read_server("i-1", ANNOUNCEMENT.as_bytes()).is_ok());
    for test in [
        Test {
            from: r#""ready""#,
            to: r#""resting""#,
        },
        Test {
            from: r#""ready""#,
            to: "1",
        },
        Test {
            from: r#""state":"ready","#,
            to: "",
        },
        Test {
            from: r#""service":"x","#,
            to: "",
        },
        Test {
            from: r#""service":"x""#,
            to: r#""service":["x"]"#,
        },
        Test {
            from: r#""address":"10.0.0.1:80""#,
            to: r#""address":"10.0.0.1""#,
        },
        Test {
            from: r#""zone":"n","#,
            to: "",
        },
        Test {
            from: r#""batchSlots":12"#,
            to: r#""batchSlots":"12""#,
        },
        Test {
            from: r#""batchSlots":12"#,
            to: r#""batchSlots":-1"#,
        },
        Test {
            from: r#""version":"v1","#,
            to: "",
        },
        Test {
            from: r#""sequence":4"#,
            to: r#""sequence":"4""#,
        },
        Test {
            from: r#""coldRemainingMs":0"#,
            to: r#""coldRemainingMs":null"#,
        },
        Test {
            from: r#""version":3"#,
            to: r#""version":"3""#,
        },
        Test {
            from: "1764720000123",
            to: "1764720000123.5",
        },
        Test {
            from: "1764720000123",
            to: "null",
        },
        Test { from: "{", to: "[" },
    ] {
        let entry = ANNOUNCEMENT.replacen(test.from, test.to, 1);
        assert_ne!(entry, ANNOUNCEMENT, "{}", test.from);
        let server = read_server("i-1", entry.as_bytes());
        assert!(server.is_err(), "{} for {}", test.to, test.from);
    }
    assert!(read_server("i-1", b"\xff\xfe\x00").is_err());
}

proptest! {
    /// Truncated or changed bytes never make the reader panic, and what it accepts has
    /// the right id and an address.
    #[test]
    fn no_announcement_stops_the_reader(
        at in 0..ANNOUNCEMENT.len(),
        byte in any::<u8>(),
        cut in any::<bool>(),
        noise in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let mut entry = ANNOUNCEMENT.as_bytes().to_vec();
        match cut {
            true => entry.truncate(at),
            false => entry[at] = byte,
        }
        prop_assert!(!cut || read_server("i-1", &entry).is_err());
        prop_assert!(read_server("i-1", &noise).is_err());
        if let Ok(server) = read_server("i-1", &entry) {
            prop_assert_eq!(server.incarnation.id, "i-1");
            prop_assert!(server.address.port() > 0);
        }
    }

    /// A field of another type makes the announcement invalid. Only `coldRemainingMs`
    /// may be any number.
    #[test]
    fn a_field_of_another_type_is_rejected(
        field in proptest::sample::select(vec![
            "service", "address", "zone", "version", "batchSlots", "state", "coldRemainingMs",
            "models", "sequence", "born",
        ]),
        value in proptest::sample::select(vec![
            serde_json::json!(null), serde_json::json!(true), serde_json::json!({"a": 1}),
            serde_json::json!([1]), serde_json::json!(-1.5),
        ]),
    ) {
        let mut entry: serde_json::Value = serde_json::from_str(ANNOUNCEMENT).unwrap();
        let is_number = field == "coldRemainingMs" && value.is_number();
        entry[field] = value;
        let server = read_server("i-1", entry.to_string().as_bytes());
        prop_assert!(is_number || server.is_err(), "{entry}");
    }
}

/// Guards against a report that is ignored or misread where a server leaves out numbers or
/// sends other text: without two numbers there is no report, and a bad third or fourth number
/// counts as left out.
#[test]
fn server_loads_are_read() {
    let load = |slots, slowness| {
        Some(ServerLoad {
            running: 3,
            waiting: 1,
            slots,
            slowness,
        })
    };
    for (value, expected) in [
        ("3,1", load(None, None)),
        ("3,1,6", load(Some(6), None)),
        ("3,1,6,250", load(Some(6), Some(250))),
        (" 3 , 1, 6 ,250 ", load(Some(6), Some(250))),
        ("3,1,6,250,9", load(Some(6), Some(250))),
        ("3,1,x,250", load(None, Some(250))),
        ("3,1,,250", load(None, Some(250))),
        ("3,1,6,2.5", load(Some(6), None)),
        ("3,1,-6,-1", load(None, None)),
        ("", None),
        ("3", None),
        ("3,", None),
        ("x,1,6,100", None),
        ("3,-1,6,100", None),
        ("4294967296,1,6,100", None),
    ] {
        let mut headers = HeaderMap::new();
        headers.insert("x-server-load", value.parse().unwrap());
        assert_eq!(server_load(&headers), expected, "{value:?}");
    }
    assert_eq!(server_load(&HeaderMap::new()), None);
}
