//! Rows that other writers may leave in the store's tables: bytes that are no row, and rows of
//! the right types with values that nothing has. No decoder panics, and nothing that is
//! calculated from what it returns overflows. Overflow checks are on in these tests.

use proptest::prelude::*;
use redwingpond::{
    base::{Fingerprint, Millis},
    batch::{
        Bundle,
        Claim,
        Head,
        Heartbeat,
        Item,
        ItemRef,
        Log,
        Partial,
        Sample,
        decode,
        encode, //
    },
    platform::{
        EventReader,
        read_config,
        read_named_version,
        read_server, //
    },
    policy::{
        call_queue::{CallQueue, Supply, Urgency, WaitingCall},
        claim_choice::{Place, usable_slots},
        conditions::{Report, ServerConditions, ServerState, ServiceDemand},
        connection_limit::max_open,
        demand::{DemandTable, InstanceDemand},
        liveness::{ClaimWrite, LastHeartbeat, is_working},
        long_text::PaceRank,
        model_share::{BatchDemand, Demand, Member, assign_models, demands},
        pace::{is_slower, is_straggler, usual_pace},
        quarantine::{CrashPolicy, Quarantine},
        second_run::{HeldText, SecondRun},
        server_choice::{Candidate, choose, choose_uneven, hedge_delay},
        server_limit::{Outside, ServerLimit},
        server_load::{Observed, ServerLoad},
        step_mode::{OpenStep, Supply as StepSupply, is_ample, step_modes},
        version_plan::{LoadDecision, Situation, decide}, //
    },
    routing::{Server, ServerIncarnation},
    store::{Listing, Row, TableView}, //
};

/// The runners of the largest site that is planned for.
const MAX_RUNNERS: u32 = 3_300;

/// The longest message that names why a row is left out, in bytes.
const MAX_MESSAGE: usize = 300;

const NOW: Millis = Millis(1_790_000_000_000);

/// Numbers at the ends of their types, and past them.
const NUMBERS: [&str; 19] = [
    "0",
    "1",
    "4",
    "200",
    "65535",
    "65536",
    "99999",
    "2147483648",
    "4294967295",
    "4294967296",
    "9007199254740991",
    "9007199254740993",
    "18446744073709551615",
    "18446744073709551616",
    "-1",
    "-9223372036854775808",
    "1.5",
    "1e300",
    "1e999",
];

/// JSON values in the place of a number: mostly numbers.
fn number() -> impl Strategy<Value = String> {
    prop_oneof![
        8 => proptest::sample::select(&NUMBERS[..]).prop_map(str::to_owned),
        4 => any::<u64>().prop_map(|number| number.to_string()),
        1 => nested(),
    ]
}

/// JSON values in the place of a text.
fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        6 => proptest::sample::select(&["\"ready\"", "\"a\"", "\"\"", "\"safe\"", "\"rollout\""][..])
            .prop_map(str::to_owned),
        2 => (0_usize..3_000).prop_map(|length| format!("\"{}\"", "x".repeat(length))),
        1 => proptest::sample::select(&NUMBERS[..]).prop_map(str::to_owned),
        1 => nested(),
    ]
}

/// Deeply nested values, closed and not.
fn nested() -> impl Strategy<Value = String> {
    let depth = prop_oneof![Just(10_usize), Just(130), Just(20_000)];
    (depth, any::<bool>(), any::<bool>()).prop_map(|(depth, is_map, is_closed)| {
        let (open, close) = match is_map {
            true => ("{\"a\":", "}"),
            false => ("[", "]"),
        };
        let end = if is_closed {
            close.repeat(depth)
        } else {
            String::new()
        };
        format!("{}1{end}", open.repeat(depth))
    })
}

fn address() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => number().prop_map(|port| format!("\"127.0.0.1:{port}\"")),
        2 => Just("\"127.0.0.1:9\"".to_owned()),
        1 => Just("\"127.0.0.1\"".to_owned()),
        1 => Just("\"[::1]:1\"".to_owned()),
        1 => text(),
    ]
}

/// An entry of the servers' table.
fn entry() -> impl Strategy<Value = String> {
    let fields = (address(), number(), number(), number(), text(), number());
    (
        fields,
        prop_oneof![Just("x".to_owned()), nested()],
        any::<bool>(),
    )
        .prop_map(
            |((address, slots, born, sequence, service, version), unknown, twice)| {
                let unknown = if unknown == "x" {
                    "1".to_owned()
                } else {
                    unknown
                };
                let twice = if twice { "\"batchSlots\":1," } else { "" };
                format!(
                    "{{\"address\":{address},{twice}\"batchSlots\":{slots},\"born\":{born},\
                 \"coldRemainingMs\":0,\"sequence\":{sequence},\"service\":{service},\
                 \"state\":\"ready\",\"version\":\"v1\",\"zone\":\"north\",\
                 \"models\":[{{\"name\":\"m0\",\"version\":{version}}}],\"unknown\":{unknown}}}"
                )
            },
        )
}

/// An entry whose values all have the right types.
fn typed_entry() -> impl Strategy<Value = String> {
    let wide = prop_oneof![
        any::<u64>(),
        Just(0),
        Just(u64::MAX),
        Just(u64::from(u32::MAX))
    ];
    let slots = prop_oneof![any::<u32>(), Just(0), Just(u32::MAX), 1_u32..100];
    (slots, wide.clone(), wide, any::<u16>()).prop_map(|(slots, born, version, port)| {
        serde_json::json!({
            "address": format!("127.0.0.1:{port}"), "batchSlots": slots, "born": born,
            "coldRemainingMs": 1e300, "sequence": u64::MAX, "service": "engines",
            "state": "ready", "version": "v1", "zone": "north",
            "models": [{"name": "m0", "version": version}],
        })
        .to_string()
    })
}

fn config() -> impl Strategy<Value = String> {
    let first = (number(), number(), number(), number(), number(), number());
    let second = (number(), number(), number(), number(), text());
    (first, second).prop_map(
        |((version, timeout, ttl, attempts, weight, other), (most, body, head, idle, kind))| {
            format!(
                "{{\"version\":{version},\"limits\":{{\"headerTimeoutMs\":{head},\
                 \"idleTimeoutMs\":{idle},\"maxBodyBytes\":{body},\"maxHeaderBytes\":{body}}},\
                 \"services\":[{{\"name\":\"plain\",\"maxConnections\":{most}}}],\
                 \"routes\":[{{\"name\":\"r\",\"host\":\"h\",\"pathPrefix\":\"/\",\
                 \"routeType\":{kind},\"timeoutMs\":{timeout},\"itemTtlS\":{ttl},\
                 \"resultDeadlineMs\":{ttl},\"targetLatencyMs\":{timeout},\
                 \"maxAttempts\":{attempts},\"priority\":{attempts},\"trafficSplit\":[\
                 {{\"service\":\"plain\",\"weight\":{weight}}},\
                 {{\"service\":\"other\",\"weight\":{other}}}]}}]}}"
            )
        },
    )
}

/// Calculates all that gateways and runners calculate with a server's entry.
fn use_server(server: &Server) {
    for callers in [0, 1, u32::MAX] {
        let mut limit = ServerLimit::new(server.slots, callers);
        let load = ServerLoad {
            running: u32::MAX,
            waiting: u32::MAX,
            slots: Some(server.slots),
            slowness: Some(u32::MAX),
        };
        let outside = Outside {
            selected: true,
            shared: Some((ServerState::Failing, Millis(u64::MAX))),
            trusted: true,
            typical: 1e300,
        };
        limit.begin(NOW);
        limit.record_answer(NOW, Some(load), NOW);
        limit.update_callers(callers);
        let _ = limit.room(Urgency::Background, outside, NOW);
    }
    let candidate = Candidate {
        connected: false,
        in_flight: 3,
        latency: 50.0,
        local: true,
        observed: Observed {
            slots: server.slots,
            ..Observed::default()
        },
        reported: Some(u32::MAX),
        slots: server.slots,
        tried: false,
        trusted: true,
    };
    assert_eq!(choose(&[candidate], u64::MAX - 1), Some(0));
    assert_eq!(choose_uneven(&[candidate], u64::MAX, Millis(200)), Some(0));
    // All runners of a model add up the slots of their engines in 32 bits.
    let slots = usable_slots(server.slots, 20.0, 20.0);
    assert!(slots.checked_mul(MAX_RUNNERS).is_some(), "{slots} slots");
    for model in &server.models {
        plan_load(model.version);
    }
}

/// Decides on a load of a version that was named, or that an engine holds.
fn plan_load(version: u64) {
    for (named, held, needed) in [(version, 0, 0), (1, version, 1), (2, 1, version)] {
        for rank in [0, 1, MAX_RUNNERS as usize] {
            let situation = Situation {
                outage: None,
                held,
                home: true,
                loading: 0,
                models: 1,
                named,
                named_for: Millis(2_000),
                needed,
                needed_for: Millis(0),
                place: Place {
                    count: rank + 1,
                    rank,
                },
                ready: 0,
                runners: rank + 1,
                is_turn: true,
                next_near: true,
                waiting: true,
            };
            assert!(matches!(
                decide(&situation),
                LoadDecision::Load(_) | LoadDecision::Wait
            ));
        }
    }
}

fn use_config(value: &[u8]) {
    let Ok(config) = read_config(value) else {
        return;
    };
    for service in &config.services {
        for callers in [0, 1, u32::MAX] {
            assert_ne!(max_open(service.max_connections, callers), Some(0));
        }
    }
    let Some(route) = config.route("h", "/x") else {
        return;
    };
    let _ = (
        route.service_of("a"),
        route.service_of("b"),
        route.serves("plain"),
    );
    let times = [
        route.timeout,
        route.item_ttl,
        route.result_deadline,
        route.target_latency.unwrap_or_default(),
    ];
    for time in times {
        let _ = hedge_delay(50.0, time);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Any bytes in any table: runners and gateways ended when they decoded some.
    #[test]
    fn no_bytes_end_a_reader(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        if let Err(error) = read_server("a", &bytes) {
            prop_assert!(error.to_string().len() <= MAX_MESSAGE);
        }
        use_config(&bytes);
        let _ = read_named_version(&bytes);
        let _ = decode::<Heartbeat>("heartbeat", &bytes);
        let _ = decode::<Claim>("claim", &bytes);
        let _ = decode::<Log>("log", &bytes);
        let _ = decode::<Sample>("sample", &bytes);
        let _ = decode::<Vec<Item>>("items", &bytes);
        let _ = decode::<InstanceDemand>("demand", &bytes);
        if let Some(head) = decode::<Head>("head", &bytes) {
            use_head(&head);
        }
        if let Some(partial) = decode::<Partial>("partial", &bytes) {
            prop_assert!(partial.last.checked_add(1).is_some());
        }
    }

    /// An entry with values of other types, beyond 64 bits, nested deeply or never closed.
    #[test]
    fn no_entry_ends_a_reader(entry in entry(), id in "\\PC{0,20}") {
        match read_server(&id, entry.as_bytes()) {
            Ok(server) => use_server(&server),
            Err(error) => prop_assert!(error.to_string().len() <= MAX_MESSAGE, "{error}"),
        }
    }

    /// An entry with absurd values of the right types.
    #[test]
    fn no_typed_entry_ends_a_reader(entry in typed_entry()) {
        if let Ok(server) = read_server("a", entry.as_bytes()) {
            use_server(&server);
        }
    }

    /// An engine's events with any numbers: the number after the last one overflowed.
    #[test]
    fn no_event_ends_a_reader(
        id in prop_oneof![number(), Just(u64::MAX.to_string()), Just((u64::MAX - 1).to_string())],
        bytes in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let mut reader = EventReader::default();
        reader.push(&bytes);
        reader.push(format!("\n\nid: {id}\ndata: x\nx-weight-versions: {id}\n\n").as_bytes());
        while let Some(event) = reader.next_event() {
            prop_assert!(event.id.is_none_or(|id| id.checked_add(1).is_some()), "{event:?}");
        }
    }

    /// A configuration with absurd numbers: the sum of a route's weights overflowed.
    #[test]
    fn no_configuration_ends_a_reader(config in config()) {
        use_config(config.as_bytes());
    }

    /// A named version at the end of its type, with which runners calculate their turns.
    #[test]
    fn no_named_version_ends_a_reader(version in number()) {
        let value = format!("{{\"model\":\"m0\",\"version\":{version}}}");
        if let Some(named) = read_named_version(value.as_bytes()) {
            plan_load(named.version);
        }
    }

    /// A batch's head with indices of items that it doesn't have: each runner ended at it.
    #[test]
    fn no_head_ends_a_reader(head in head()) {
        if let Some(head) = decode::<Head>("head", &encode(&head)) {
            use_head(&head);
        }
    }

    /// Heartbeats and claims with any numbers.
    #[test]
    fn no_heartbeat_ends_a_reader(
        paces in proptest::collection::vec(any::<f64>(), 0..6),
        (own, token, revision, at) in (any::<f64>(), any::<u64>(), any::<u64>(), any::<u64>()),
    ) {
        let usual = usual_pace(paces.clone());
        let rank = PaceRank::new(own, paces.clone());
        for pace in paces {
            let _ = (is_slower(pace, usual, false), is_straggler(pace, usual));
            let _ = (PaceRank::is_faster(pace, own), rank.leave_time_of(pace, Millis(at)));
            let _ = usable_slots(6, pace, usual);
            let text = HeldText { due_in: Millis(at), own_ms: 2_000.0, pace, since: Millis(900) };
            let _ = SecondRun::estimate(text).map(SecondRun::gains_time);
        }
        let write = ClaimWrite { at: Millis(at), revision, token };
        let heartbeat = LastHeartbeat { at: Millis(at), revision, token, working: true };
        let _ = is_working(write, Some(heartbeat), NOW);
    }

    /// Crashes and conditions with any times.
    #[test]
    fn no_crash_or_condition_ends_a_reader(
        at in prop_oneof![any::<u64>(), Just(u64::MAX), Just(0)],
        born in any::<u64>(),
    ) {
        let server = ServerIncarnation::new("a", Millis(born));
        let request = Fingerprint::parse("0123456789abcdef").unwrap();
        for policy in [CrashPolicy::Pause, CrashPolicy::Quarantine] {
            let mut quarantine = Quarantine::new(policy);
            for number in 0..8 {
                let server = ServerIncarnation::new(&number.to_string(), Millis(born));
                quarantine.record_crash(request, server, Millis(at));
                let _ = (quarantine.state(request, NOW), quarantine.pause(request, NOW));
            }
            let _ = quarantine.expired(NOW, 90);
        }
        let mut conditions = ServerConditions::new("me");
        for state in [Some(ServerState::Failing), None] {
            let report = Report { at: Millis(at), observer: "other".to_owned(), state };
            conditions.receive(&server, Some(report), NOW, u32::MAX);
            let _ = conditions.condition(&server, NOW);
            let _ = conditions.is_trial_due(&server, u32::MAX, NOW);
            conditions.report(&server, ServerState::Failing, NOW, u32::MAX);
            conditions.clear(&server, NOW, u32::MAX);
            let _ = conditions.due(NOW + Millis(10_000), u32::MAX, 90);
            conditions.sweep(NOW + Millis(u64::MAX), u32::MAX);
        }
    }

    /// Running calls of other instances at the end of their type: the queue of calls added its
    /// own to them.
    #[test]
    fn no_demand_ends_a_reader(
        running in prop_oneof![any::<u32>(), Just(u32::MAX)],
        valid in any::<u64>(),
    ) {
        let mut table = DemandTable::new("me");
        table.set_listed();
        for instance in ["one", "two"] {
            let service = ServiceDemand {
                running,
                waiting: running,
                workspaces: [("w".to_owned(), running)].into(),
            };
            let demand = InstanceDemand {
                services: [("plain".to_owned(), service)].into(),
                valid: Millis(valid),
            };
            table.receive(instance, Some((NOW, demand)));
        }
        prop_assert!(table.callers("plain", NOW) <= 3);
        let _ = (table.due(NOW), table.expired(NOW, 90));
        let elsewhere = table.running_elsewhere("plain", "w", NOW);
        let mut queue = CallQueue::default();
        queue.begin(7, Urgency::Interactive);
        let supply = Supply { in_flight: 1, limit: 4.0, opens_at: None, servers: 2, typical: 50.0 };
        let call = WaitingCall {
            admitted: false,
            deadline: NOW + Millis(1_500),
            id: 1,
            priority: u32::MAX,
            queued_at: NOW,
            returned: false,
            servers: 2,
            spread: u64::MAX,
            target: NOW + Millis(150),
            urgency: Urgency::Interactive,
            workspace: 7,
        };
        queue.push(call, NOW);
        let _ = queue.decide(&call, supply, &|_| elsewhere, NOW);
        let _ = queue.pop(&|_| elsewhere, |_| true, NOW);
    }
}

fn head() -> impl Strategy<Value = Head> {
    let index = prop_oneof![0_u16..4, any::<u16>(), Just(u16::MAX)];
    let bundle = (any::<u16>(), proptest::collection::vec(index, 0..4));
    let bundles = proptest::collection::vec(bundle, 0..4);
    let wide = prop_oneof![any::<u64>(), Just(u64::MAX)];
    let expected = proptest::collection::vec(prop_oneof![any::<u32>(), Just(u32::MAX)], 0..4);
    (bundles, expected, wide.clone(), wide, any::<u16>()).prop_map(
        |(bundles, expected, accepted, least_version, needed)| Head {
            accepted: Millis(accepted),
            bundles: bundles
                .into_iter()
                .map(|(group, items)| Bundle { group, items })
                .collect(),
            host: "h".to_owned(),
            items: expected
                .into_iter()
                .map(|expected| ItemRef {
                    chunk: u16::MAX,
                    expected,
                    id: expected.to_string(),
                })
                .collect(),
            least_version,
            model: "m0".to_owned(),
            needed,
            path: "/".to_owned(),
            priority: Some(u32::MAX),
            step: accepted,
            workspace: None,
        },
    )
}

/// Calculates all that runners calculate with a batch's head.
fn use_head(head: &Head) {
    let order = head.bundle_order();
    assert_eq!(order.len(), head.bundles.len());
    for bundle in &head.bundles {
        let _ = head.is_surplus(bundle);
        for index in &bundle.items {
            assert!(usize::from(*index) < head.items.len(), "no item {index}");
        }
    }
    // Runners look for the batches of the versions before the one named last.
    assert!(head.least_version.checked_add(1).is_some());
    plan_load(head.least_version);
    let demand = BatchDemand {
        items: head.items.len(),
        step: head.step,
        tokens: head.expected_tokens(),
    };
    let demands: Vec<Demand> = demands(vec![("m0".to_owned(), vec![demand; 3])]);
    let member = Member {
        home: None,
        slower: true,
    };
    assert_eq!(assign_models(&demands, &[member; 3]), [0; 3]);
    let due = head.accepted + Millis(u64::MAX);
    let step = OpenStep {
        surplus: demand.tokens,
        due,
        needed: demand.tokens,
    };
    let supply = StepSupply {
        slots: 0,
        token_ms: 1e300,
    };
    let _ = (
        is_ample(&[step; 3], supply, NOW),
        step_modes(&[step; 3], supply, NOW),
    );
}

/// A saved text whose last event has the last number there is: the next event's number
/// overflowed.
#[test]
fn a_saved_text_at_the_end_of_its_numbers_is_left_out() {
    let text = Partial {
        events: vec!["a".to_owned()],
        last: u64::MAX,
        versions: vec![1],
    };
    assert_eq!(decode::<Partial>("partial", &encode(&text)), None);
    let text = Partial { last: 3, ..text };
    assert_eq!(decode::<Partial>("partial", &encode(&text)), Some(text));
}

/// A child asks for the changes after the last revision there is: the next one overflowed.
#[test]
fn no_changes_follow_the_last_revision() {
    let mut view = TableView::default();
    view.retain_rows();
    view.set_complete(1);
    let row = |key: &str, revision| Row {
        part: String::new(),
        key: key.to_owned(),
        value: Some(vec![1].into()),
        revision,
    };
    let listing = Listing {
        rows: vec![row("a", 1), row("b", u64::MAX)],
        more: false,
        revision: u64::MAX,
    };
    view.apply_listing(None, listing);
    assert_eq!(view.rows_since(u64::MAX), Some(Vec::new()));
    let changed = view.rows_since(u64::MAX - 1).unwrap();
    assert_eq!(changed, [row("b", u64::MAX)]);
}

/// A key that no header can hold: calls to the server would not name it, and any other server at
/// the address would run them.
#[test]
fn an_id_that_no_header_holds_is_left_out() {
    let entry = serde_json::json!({
        "address": "127.0.0.1:9", "batchSlots": 4, "coldRemainingMs": 0, "sequence": 0,
        "service": "plain", "state": "ready", "version": "v1", "zone": "north",
    });
    let entry = entry.to_string();
    for id in ["plain 1/a", "\u{e9}"] {
        assert!(read_server(id, entry.as_bytes()).is_ok(), "{id:?}");
    }
    for id in ["", "a\nb", "a\0", "a\u{7f}"] {
        let error = read_server(id, entry.as_bytes()).unwrap_err();
        assert!(error.to_string().contains("id"), "{id:?}: {error}");
    }
}
