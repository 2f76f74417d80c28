//! Which requests run no more, as a table of what happened to them.

use redwingpond::{
    base::{Fingerprint, FingerprintInput, Millis},
    policy::quarantine::{Quarantine, QuarantineState, RETENTION},
    routing::ServerIncarnation, //
};

/// What happened to a request.
#[derive(Clone, Copy)]
enum News {
    Answered,
    /// The server with this number ended under it.
    Ended(u64),
    /// The crash of the server with this number counts no more.
    Forgotten(u64),
}

struct Test {
    news: &'static [News],
    verdict: QuarantineState,
}

fn request(body: &str) -> Fingerprint {
    Fingerprint::of(FingerprintInput {
        body: body.as_bytes(),
        credential: b"",
        host: "site.example",
        id: "",
        method: "POST",
        path: "/safe/x",
    })
}

/// A server that starts again under its id is another one.
fn life(number: u64) -> ServerIncarnation {
    ServerIncarnation::new("server", Millis(number))
}

#[test]
fn three_servers_bar_a_request_until_it_is_answered() {
    use News::{Answered, Ended, Forgotten};
    for (number, test) in [
        Test {
            news: &[],
            verdict: QuarantineState::Clear,
        },
        Test {
            news: &[Ended(1)],
            verdict: QuarantineState::Watched,
        },
        Test {
            news: &[Ended(1), Ended(2)],
            verdict: QuarantineState::Suspect,
        },
        Test {
            news: &[Ended(1), Ended(2), Ended(3)],
            verdict: QuarantineState::Barred,
        },
        // Two instances that saw one crash.
        Test {
            news: &[Ended(1), Ended(1), Ended(1)],
            verdict: QuarantineState::Watched,
        },
        // Many callers ask the same: an answer to one speaks for all.
        Test {
            news: &[Ended(1), Ended(2), Answered, Ended(3), Ended(4)],
            verdict: QuarantineState::Suspect,
        },
        Test {
            news: &[Ended(1), Ended(2), Ended(3), Forgotten(1)],
            verdict: QuarantineState::Suspect,
        },
    ]
    .into_iter()
    .enumerate()
    {
        let mut quarantine = Quarantine::default();
        let asked = request("a");
        for news in test.news {
            match news {
                Answered => {
                    quarantine.clear(asked, Millis(0));
                }
                Ended(server) => {
                    quarantine.note_crash(asked, life(*server), Millis(0));
                }
                Forgotten(server) => quarantine.forget(asked, &life(*server)),
            }
        }
        let now = Millis(100);
        assert_eq!(quarantine.state(asked, now), test.verdict, "case {number}");
        assert_eq!(quarantine.state(request("b"), now), QuarantineState::Clear);
    }
}

/// A request in quarantine is tried twice: some seconds after its last crash, and some
/// minutes after the one of its first trial.
#[test]
fn quarantine_allows_two_trials() {
    let mut quarantine = Quarantine::default();
    let asked = request("a");
    for server in 0..3 {
        quarantine.note_crash(asked, life(server), Millis(server));
    }
    for (now, verdict) in [
        (Millis(5_001), QuarantineState::Barred),
        (Millis(5_002), QuarantineState::Trial),
    ] {
        assert_eq!(quarantine.state(asked, now), verdict);
    }
    quarantine.note_crash(asked, life(3), Millis(6_000));
    for (now, verdict) in [
        (Millis(605_999), QuarantineState::Barred),
        (Millis(606_000), QuarantineState::Trial),
    ] {
        assert_eq!(quarantine.state(asked, now), verdict);
    }
    quarantine.note_crash(asked, life(4), Millis(607_000));
    assert_eq!(quarantine.state(asked, RETENTION), QuarantineState::Barred);
}

/// An answer is remembered for five seconds, and not for more than ten.
#[test]
fn answers_are_remembered_for_a_while() {
    let mut quarantine = Quarantine::default();
    let (shared, other) = (request("a"), request("b"));
    assert!(!quarantine.is_answered(shared, Millis(0)));
    quarantine.clear(shared, Millis(20_000));
    for later in 1..10 {
        quarantine.clear(other, Millis(20_000 + later * 500));
    }
    assert!(quarantine.is_answered(shared, Millis(25_000)));
    quarantine.clear(other, Millis(25_100));
    assert!(quarantine.is_answered(shared, Millis(26_000)));
    quarantine.clear(other, Millis(30_200));
    assert!(!quarantine.is_answered(shared, Millis(30_200)));
    assert!(!quarantine.is_answered(other, Millis(50_000)));
}

/// A crash counts for a day, and no longer.
#[test]
fn crashes_expire() {
    let mut quarantine = Quarantine::default();
    let asked = request("a");
    quarantine.note_crash(asked, life(1), Millis(0));
    quarantine.note_crash(asked, life(2), Millis(5));
    assert!(quarantine.expired(RETENTION, 10).is_empty());
    let old = quarantine.expired(RETENTION + Millis(1), 10);
    assert_eq!(old, [(asked, life(1))]);
    let old = quarantine.expired(RETENTION + Millis(6), 1);
    assert_eq!(old.len(), 1);
}

/// The same asked again under another id is one request; any other content, host or
/// credential makes another.
#[test]
fn a_fingerprint_names_what_was_asked() {
    let asked = FingerprintInput {
        body: b"body",
        credential: b"key",
        host: "host",
        id: "",
        method: "POST",
        path: "/a?b",
    };
    let name = Fingerprint::of(asked);
    assert_eq!(Fingerprint::parse(&name.to_string()), Some(name));
    for other in [
        FingerprintInput {
            body: b"other",
            ..asked
        },
        FingerprintInput {
            credential: b"",
            ..asked
        },
        FingerprintInput {
            host: "other",
            ..asked
        },
        FingerprintInput { id: "a", ..asked },
        FingerprintInput {
            method: "PUT",
            ..asked
        },
        FingerprintInput {
            path: "/a?c",
            ..asked
        },
    ] {
        assert_ne!(Fingerprint::of(other), name, "{other:?}");
    }
}
