//! The rows that are kept in the store: how batches and results are encoded, and how a
//! follower applies changes and listings.

use bytes::Bytes;
use proptest::prelude::*;
use redwingpond::{
    base::Millis,
    batch::{
        BatchWrites,
        Head,
        HeadBuilder,
        Item,
        Log,
        Sample,
        SampleState,
        Submission,
        WorkKey,
        append_transaction,
        batch_part,
        decode,
        heartbeat_part,
        is_heartbeat_part,
        read_page, //
    },
    routing::{Directory, Server, ServerIncarnation},
    store::{Change, Listing, Row, TableView}, //
};
use std::collections::BTreeMap;

/// An item of `group` with a body of `size` bytes; `number` is its expected length.
fn item(number: usize, group: &str, size: usize) -> Item {
    Item {
        body: Bytes::from(vec![7; size]),
        expected: number as u32,
        group: group.to_owned(),
        headers: vec![("x".to_owned(), "y".to_owned())],
        id: format!("item-{number}"),
        path: "/p/1".to_owned(),
        scorer: None,
    }
}

/// A submission with default values.
fn submission() -> Submission {
    Submission {
        host: "h".to_owned(),
        id: "b".to_owned(),
        least_version: 1,
        model: "m".to_owned(),
        needed: 0,
        path: "/p/b".to_owned(),
        priority: None,
        step: 0,
        workspace: None,
    }
}

/// The head of a submission of `items`.
fn head_of(submission: &Submission, items: &[Item]) -> Head {
    let mut head = HeadBuilder::new(submission, Millis(5));
    assert!(items.iter().all(|item| head.push(item)));
    head.finish().expect("a head that fits")
}

/// A batch of any size is written in transactions within the store's limits, the head
/// last. Each item is in the chunk that the head names.
#[test]
fn batches_of_any_size_fit_the_store() {
    struct Test {
        items: usize,
        size: usize,
    }

    for test in [
        Test { items: 1, size: 0 },
        Test {
            items: 96,
            size: 800,
        },
        Test {
            items: 2_048,
            size: 1_300,
        },
        Test {
            items: 40,
            size: 39_000,
        },
    ] {
        let items: Vec<Item> = (0..test.items).map(|n| item(n, "g", test.size)).collect();
        let head = head_of(&submission(), &items);
        let item = |index: usize| Ok::<Item, ()>(items[index].clone());
        let mut writes = BatchWrites::new("b", head, item);
        let mut rows = BTreeMap::new();
        let mut last = None;
        while let Some((transaction, is_last)) = writes.next_transaction().unwrap() {
            let bytes: usize = transaction.set.iter().map(|(_, value)| value.len()).sum();
            assert!(transaction.set.len() <= 100, "{}", transaction.set.len());
            assert!(bytes < 740 * 1024, "{bytes}");
            for (key, value) in &transaction.set {
                assert!(value.len() <= 48 * 1024, "{}", value.len());
                rows.insert(key.key.clone(), value.clone());
            }
            assert!(last.is_none(), "a transaction after the head");
            last = is_last.then_some(transaction);
        }
        let last = last.expect("a transaction with the head");
        assert_eq!(last.expect.len(), 1);
        assert_eq!(last.expect[0].1, 0);

        let head: Head = decode("head", &rows["head"]).unwrap();
        assert_eq!(head.items.len(), test.items);
        for place in &head.items {
            let chunk = &rows[&redwingpond::batch::chunk_key(place.chunk)];
            let items: Vec<Item> = decode("items", chunk).unwrap();
            assert!(items.iter().any(|item| item.id == place.id), "{}", place.id);
        }
    }
}

/// Bundles are ordered by their longest item, the longest first.
#[test]
fn long_bundles_begin_first() {
    let items = vec![
        item(3, "a", 0),
        item(9, "b", 0),
        item(1, "c", 0),
        item(8, "a", 0),
    ];
    let head = head_of(&submission(), &items);
    assert_eq!(bundles(&head), [vec![0, 3], vec![1], vec![2]]);
    assert_eq!(head.bundle_order(), [1, 0, 2]);
}

/// A trainer waits for two of three groups: the first ones of its submission, where
/// groups left over from an earlier step stand. The others are surplus. Without a
/// number it waits for all.
#[test]
fn groups_that_a_trainer_does_not_wait_for_are_surplus() {
    struct Test {
        needed: u16,
        surplus: [bool; 3],
    }

    for test in [
        Test {
            needed: 2,
            surplus: [false, false, true],
        },
        Test {
            needed: 0,
            surplus: [false; 3],
        },
    ] {
        let items = vec![item(1, "c", 0), item(2, "a", 0), item(3, "b", 0)];
        let submission = Submission {
            needed: test.needed,
            ..submission()
        };
        let head = head_of(&submission, &items);
        let bundles = head.bundles.iter();
        let surplus: Vec<bool> = bundles.map(|bundle| head.is_surplus(bundle)).collect();
        assert_eq!(surplus, test.surplus, "{}", test.needed);
    }
}

/// The items of each bundle.
fn bundles(head: &Head) -> Vec<Vec<u16>> {
    let bundles = head.bundles.iter();
    bundles.map(|bundle| bundle.items.clone()).collect()
}

/// A step of 16 groups of 16 items arrives at 15 engines with 6 slots each. Groups are
/// split into bundles of four items, so that no engine runs a whole group in three
/// rounds while others are idle. Each item is in one bundle.
#[test]
fn large_groups_are_split_into_bundles() {
    let group = |number: usize| format!("g{}", number / 16);
    let items = (0..256).map(|number| item(number, &group(number), 0));
    let items: Vec<Item> = items.collect();
    let head = head_of(&submission(), &items);
    let bundles = bundles(&head);
    assert!(bundles.iter().all(|bundle| bundle.len() == 4));
    let mut all: Vec<u16> = bundles.concat();
    all.sort_unstable();
    assert_eq!(all, (0..256).collect::<Vec<u16>>());

    // Five items make two bundles of nearly equal size.
    let items: Vec<Item> = (0..5).map(|number| item(number, "g", 0)).collect();
    let head = head_of(&submission(), &items);
    let sizes: Vec<usize> = head
        .bundles
        .iter()
        .map(|bundle| bundle.items.len())
        .collect();
    assert_eq!(sizes, [3, 2]);
}

/// A finished sample with a text of `size` bytes.
fn sample(number: usize, size: usize) -> Sample {
    Sample {
        id: format!("item-{number}"),
        score: Some("s".to_owned()),
        state: SampleState::Succeeded,
        text: "t".repeat(size),
        versions: vec![1, 2],
    }
}

/// A row as the feed reports it; without a value it was removed.
fn row(key: &str, revision: u64, value: Option<&'static str>) -> Row {
    Row {
        part: String::new(),
        key: key.to_owned(),
        value: value.map(|value| Bytes::from_static(value.as_bytes())),
        revision,
    }
}

/// A view that passes changes on to others returns the last change of each row after a
/// revision, or `None` if it does not know all of them.
#[test]
fn a_view_returns_the_rows_changed_since_a_revision() {
    struct Test {
        after: u64,
        changes: Option<&'static [(&'static str, u64)]>,
    }

    let mut view = TableView::default();
    view.apply_changes(vec![
        row("a", 1, Some("1")),
        row("b", 2, Some("2")),
        row("gone", 3, None),
    ]);
    view.retain_rows();
    let rows = vec![row("a", 1, Some("1")), row("b", 2, Some("2"))];
    view.apply_listing(
        None,
        Listing {
            rows,
            revision: 4,
            ..Listing::default()
        },
    );
    view.set_complete(4);
    view.apply_changes(vec![
        row("b", 5, Some("5")),
        row("c", 6, Some("6")),
        row("a", 7, None),
    ]);
    for test in [
        Test {
            after: 0,
            changes: Some(&[("b", 5), ("c", 6)]),
        },
        Test {
            after: 3,
            changes: None,
        },
        Test {
            after: 4,
            changes: Some(&[("b", 5), ("c", 6), ("a", 7)]),
        },
        Test {
            after: 6,
            changes: Some(&[("a", 7)]),
        },
        Test {
            after: 7,
            changes: Some(&[]),
        },
    ] {
        let rows = view.rows_since(test.after);
        let found = rows.map(|rows| {
            let names = rows.into_iter().map(|row| (row.key, row.revision));
            names.collect::<Vec<(String, u64)>>()
        });
        let expected = test.changes.map(|changes| {
            let names = changes
                .iter()
                .map(|(key, revision)| ((*key).to_owned(), *revision));
            names.collect::<Vec<(String, u64)>>()
        });
        assert_eq!(found, expected, "after {}", test.after);
    }
}

/// A view keeps removed rows only for a while: their number grew with all rows ever
/// written. A late change must not restore a removed row as long as the view remembers
/// it.
#[test]
fn removed_rows_are_forgotten() {
    let mut view = TableView::default();
    view.retain_rows();
    view.set_complete(0);
    view.apply_changes(vec![
        row("a", 1, Some("1")),
        row("b", 2, Some("2")),
        row("a", 3, None),
    ]);
    view.prune();
    assert!(
        view.apply_changes(vec![row("a", 1, Some("1"))]).is_empty(),
        "a late change restored a removed row"
    );
    assert_eq!(view.rows_since(2).map(|rows| rows.len()), Some(1));
    view.prune();
    assert_eq!(view.rows_since(2), None, "a forgotten removal was left out");
    assert_eq!(view.rows_since(3).map(|rows| rows.len()), Some(0));
    assert_eq!(view.apply_changes(vec![row("a", 9, Some("9"))]).len(), 1);
}

/// A part accepts 200 transactions a second. When 347 runners wrote their heartbeats to
/// one part, those that started last were refused for as long as the others ran.
#[test]
fn heartbeats_of_a_fleet_fit_the_store() {
    for runners in [347, 694, 3_300] {
        let mut parts: BTreeMap<String, usize> = BTreeMap::new();
        for number in 0..runners {
            let part = heartbeat_part(&format!("side-bale-hall-{number}"));
            assert!(is_heartbeat_part(&part));
            *parts.entry(part).or_default() += 1;
        }
        // Each runner writes one a second, and another when its state changes.
        let most = parts.values().max().copied().unwrap_or_default() * 2;
        assert!(
            most <= 200,
            "{runners} runners: {most} writes a second in one part"
        );
    }
    assert!(!is_heartbeat_part(&batch_part("heartbeats")));
}

/// Guards against a second position of an item in the log, whatever a runner appends.
#[test]
fn an_append_lists_an_item_once() {
    struct Test {
        append: &'static [u16],
        before: &'static [u16],
        listed: &'static [u16],
        name: &'static str,
    }

    for test in [
        Test {
            append: &[2, 0],
            before: &[1],
            listed: &[1, 2, 0],
            name: "new items",
        },
        Test {
            append: &[1, 2],
            before: &[1],
            listed: &[1, 2],
            name: "an item that is listed",
        },
        Test {
            append: &[2, 3, 2],
            before: &[1],
            listed: &[1, 2, 3],
            name: "two results of an item",
        },
    ] {
        let samples = |items: &[u16]| -> Vec<(u16, Sample)> {
            let with_sample = |index: &u16| (*index, sample(usize::from(*index), 10));
            items.iter().map(with_sample).collect()
        };
        let (log, _) = append_transaction("b", &Log::default(), 1, &samples(test.before));
        let (log, transaction) = append_transaction("b", &log, 2, &samples(test.append));
        assert_eq!(log.listed(), test.listed, "{}", test.name);
        let results = transaction.set.iter().filter(|(key, _)| key.key != "log");
        let new = test.listed.len() - test.before.len();
        assert_eq!(results.count(), new, "{}: rows", test.name);
    }
}

proptest! {
    /// Results that are appended in any portions are read back in order from any
    /// position, large ones included, each completely or not at all.
    #[test]
    fn results_are_read_as_they_were_listed(
        sizes in proptest::collection::vec(0_usize..120_000, 1..12),
        portion in 1_usize..4,
        from in 0_usize..12,
        cut in 0_usize..40,
    ) {
        let samples: Vec<(u16, Sample)> = sizes
            .iter()
            .enumerate()
            .map(|(number, size)| (number as u16, sample(number, *size)))
            .collect();
        let mut log = Log::default();
        let mut rows = BTreeMap::new();
        for few in samples.chunks(portion) {
            let (next, transaction) = append_transaction("b", &log, 1, few);
            log = next;
            rows.extend(transaction.set.into_iter().map(|(key, value)| (key.key, value)));
        }
        prop_assert_eq!(log.listed().len(), samples.len());
        rows.remove("log");

        let first = format!("{from:06}/");
        let listed: Vec<Row> = rows
            .range(first..)
            .map(|(key, value)| Row {
                part: String::new(),
                key: key.clone(),
                value: Some(value.clone()),
                revision: 1,
            })
            .collect();
        let whole = Listing { rows: listed.clone(), ..Listing::default() };
        let page = read_page(from, &whole);
        let expected: Vec<Sample> = samples.iter().skip(from).map(|(_, s)| s.clone()).collect();
        let read = page.samples.len();
        prop_assert_eq!(&page.samples[..], &expected[..read]);
        prop_assert!(read > 0 || expected.is_empty());

        // A listing may end within a result.
        let rows = listed.into_iter().take(cut).collect();
        let page = read_page(from, &Listing { rows, ..Listing::default() });
        let read = page.samples.len();
        prop_assert_eq!(&page.samples[..], &expected[..read]);
    }

    /// Changes and listings may arrive late, but a row never returns to an older
    /// revision.
    #[test]
    fn a_view_never_returns_to_an_older_row(
        feeds in proptest::collection::vec((0_u8..4, 1_u64..60, any::<bool>()), 0..60),
        listings in proptest::collection::vec((0_usize..60, 0_u64..60), 0..4),
    ) {
        let mut view = TableView::default();
        let mut newest: BTreeMap<String, u64> = BTreeMap::new();
        for (number, (key, revision, exists)) in feeds.iter().enumerate() {
            if let Some((_, revision)) = listings.iter().find(|(at, _)| *at == number) {
                let empty = Listing { revision: *revision, ..Listing::default() };
                for change in view.apply_listing(None, empty) {
                    let Change::Removed { key, .. } = change else {
                        panic!("an empty listing added a row");
                    };
                    prop_assert!(newest[&key] <= *revision);
                    newest.insert(key, *revision);
                }
            }
            let key = key.to_string();
            let row = Row {
                part: String::new(),
                key: key.clone(),
                value: exists.then(|| Bytes::from_static(b"v")),
                revision: *revision,
            };
            let before = newest.get(&key).copied();
            let changes = view.apply_changes(vec![row]);
            if before.is_some_and(|before| before >= *revision) {
                prop_assert!(changes.is_empty());
            } else {
                newest.insert(key, *revision);
            }
        }
    }
}

/// Each key of the work table is parsed back from its text; other texts are no keys.
#[test]
fn work_keys_are_read_as_written() {
    for key in [
        WorkKey::Claim(0),
        WorkKey::Claim(65_535),
        WorkKey::Head,
        WorkKey::Log,
    ] {
        assert_eq!(WorkKey::parse(&key.to_string()), Some(key));
    }
    for text in ["", "claim/", "claim/x", "heads"] {
        assert_eq!(WorkKey::parse(text), None, "{text}");
    }
}

/// A server of the service `s` at the address that all servers of these tests share.
fn server(id: &str, draining: bool) -> Server {
    Server {
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "north".to_owned(),
        draining,
        incarnation: ServerIncarnation::new(id, Millis(0)),
        models: Vec::new(),
        service: "s".to_owned(),
        slots: 4,
    }
}

/// Announcements expire while the store is unreachable. A server whose announcement expires
/// then stays in use until it has had time to announce itself again; at any other time it is
/// removed at once.
#[test]
fn lapsed_servers_have_time_to_announce_themselves_again() {
    let ids = |directory: &Directory| {
        let mut ids: Vec<String> = directory
            .serving("s")
            .map(|s| s.incarnation.id.clone())
            .collect();
        ids.sort();
        ids
    };
    let mut directory = Directory::default();
    for id in ["a", "b", "c", "d"] {
        directory.put(server(id, false));
    }
    directory.remove("d", Millis(1_000));
    assert_eq!(ids(&directory), ["a", "b", "c"]);

    directory.store_lost(Millis(2_000));
    assert_eq!(directory.outage_start(), Some(Millis(2_000)));
    directory.remove("a", Millis(3_000));
    directory.remove("b", Millis(3_000));
    directory.store_regained(Millis(6_000));
    assert_eq!(directory.outage_start(), None);
    assert!(directory.remove_lapsed(Millis(7_000)).is_empty());
    assert_eq!(ids(&directory), ["a", "b", "c"]);

    directory.put(server("a", false));
    directory.put(server("c", true));
    assert_eq!(directory.remove_lapsed(Millis(8_300)), ["b"]);
    assert_eq!(ids(&directory), ["a"]);
}

/// The id of the server that is found at the address of these tests.
fn found_id(directory: &Directory) -> Option<&str> {
    let found = directory.server_at("127.0.0.1:1".parse().unwrap(), "s");
    found.map(|server| server.incarnation.id.as_str())
}

/// An address is reused by another server while the previous one is still announced: the
/// server that accepts requests must be found, not the draining one.
#[test]
fn the_working_server_at_an_address_is_found() {
    let mut directory = Directory::default();
    directory.put(server("old", true));
    directory.put(server("new", false));
    assert_eq!(found_id(&directory), Some("new"));
}

/// A restarted runner reads the announcements in the order of their ids, so the draining
/// server can come last. It must not be found in place of the other.
#[test]
fn a_draining_server_listed_last_is_not_found() {
    let mut directory = Directory::default();
    directory.put(server("new", false));
    directory.put(server("old", true));
    assert_eq!(found_id(&directory), Some("new"));
}

/// An engine crashes and restarts, and its previous incarnation stays announced for some
/// seconds, with updates. Runners chose one of the two at random, and requests to the previous
/// incarnation were refused.
#[test]
fn the_newest_incarnation_at_an_address_is_found() {
    let mut directory = Directory::default();
    for incarnation in 0..20 {
        let id = format!("life-{incarnation}");
        directory.put(server(&id, false));
        directory.put(server("life-0", false));
        assert_eq!(found_id(&directory), Some(id.as_str()));
    }
}

/// Another writer's entry has an engine's address but another service, and comes last. The
/// engine's runner took it for the engine's announcement and stopped working.
#[test]
fn a_strangers_announcement_hides_no_server() {
    let mut directory = Directory::default();
    directory.put(server("engine", false));
    directory.put(Server {
        service: "other".to_owned(),
        ..server("stranger", false)
    });
    assert_eq!(found_id(&directory), Some("engine"));
}

/// A server restarts under the same id and announces itself again: its new incarnation is
/// then the one announced last at the address.
#[test]
fn a_next_incarnation_under_the_same_id_is_the_newest() {
    let mut directory = Directory::default();
    directory.put(server("a", false));
    directory.put(server("b", false));
    directory.put(Server {
        incarnation: ServerIncarnation::new("a", Millis(7)),
        ..server("a", false)
    });
    let found = directory.server_at("127.0.0.1:1".parse().unwrap(), "s");
    assert_eq!(
        found.map(|server| &server.incarnation),
        Some(&ServerIncarnation::new("a", Millis(7)))
    );
}
