//! What a gateway holds in memory for its callers, and when a lagging one is not ready.

use redwingpond::{
    base::Millis,
    policy::{
        loop_lag::{LoopLag, SAMPLE_INTERVAL},
        memory_budget::{
            HeldKind,
            HoldId,
            MemoryBudget,
            MemoryRequest,
            RefusalReason,
            SMALL_BODY,
            answers_size,
            budget_size,
            connections_in_memory,
            max_connections,
            max_reads,
            spread_wait, //
        },
    },
};

const MB: usize = 1024 * 1024;

/// An event at a budget of 64 MB, 100 ms after the one before.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The workspace asks for this many bytes, with this result.
    Ask(&'static str, usize, Result<(), RefusalReason>),
    /// The hold with this number, counted from 0, grows to this many bytes.
    Grow(usize, usize, Result<(), RefusalReason>),
    /// The hold with this number ends.
    Release(usize),
    /// Time passes, in ms.
    Wait(u64),
}

/// Applies events to a budget of 64 MB: 56 MB of it are for bodies above 64 KB.
fn apply(events: &[Event]) -> MemoryBudget {
    let mut budget = MemoryBudget::new(64 * MB);
    let mut holds: Vec<HoldId> = Vec::new();
    let mut now = Millis(10_000);
    for (number, event) in events.iter().enumerate() {
        now = now + Millis(100);
        match *event {
            Event::Ask(workspace, bytes, expected) => {
                let request = MemoryRequest {
                    bytes,
                    kind: HeldKind::Body,
                    workspace,
                };
                let asked = budget.reserve(request, now);
                holds.extend(asked.ok());
                let asked = asked.map(drop).map_err(|refusal| refusal.reason);
                assert_eq!(asked, expected, "event {number} of {events:?}");
            }
            Event::Grow(hold, bytes, expected) => {
                let grown = budget.grow(holds[hold], bytes, now);
                let grown = grown.map_err(|refusal| refusal.reason);
                assert_eq!(grown, expected, "event {number} of {events:?}");
            }
            Event::Release(hold) => budget.release(holds[hold], now),
            Event::Wait(time) => now = now + Millis(time),
        }
    }
    budget
}

/// Callers send large and small bodies, with and without an announced length. A gateway that
/// held more than its budget would be killed; one that let large bodies fill it would refuse
/// everybody, and one without shares would serve a single workspace.
#[test]
fn bodies_fit_into_the_budget() {
    use Event::{Ask, Grow, Release, Wait};
    use RefusalReason::{Full, Share, TooLarge};
    struct Test {
        events: &'static [Event],
        held: usize,
    }

    for test in [
        // The fourth body doesn't fit until another one has ended.
        Test {
            events: &[
                Ask("a", 18 * MB, Ok(())),
                Ask("a", 18 * MB, Ok(())),
                Ask("a", 18 * MB, Ok(())),
                Ask("a", 18 * MB, Err(Full)),
                Release(0),
                Ask("a", 18 * MB, Ok(())),
            ],
            held: 54 * MB,
        },
        // A body that would never fit holds nothing and disturbs nobody.
        Test {
            events: &[Ask("a", 57 * MB, Err(TooLarge)), Ask("b", 56 * MB, Ok(()))],
            held: 56 * MB,
        },
        // Small bodies still fit when large ones have filled the budget, also those of the
        // workspace that filled it, as nobody else asks.
        Test {
            events: &[
                Ask("a", 56 * MB, Ok(())),
                Ask("a", SMALL_BODY + 1, Err(Full)),
                Ask("a", SMALL_BODY, Ok(())),
                Ask("b", SMALL_BODY, Ok(())),
            ],
            held: 56 * MB + 2 * SMALL_BODY,
        },
        // A workspace has half of the budget while another one asks, and the whole afterwards.
        Test {
            events: &[
                Ask("a", 30 * MB, Ok(())),
                Ask("b", 2 * MB, Ok(())),
                Ask("a", 4 * MB, Err(Share)),
                Ask("a", SMALL_BODY, Ok(())),
                Wait(2_000),
                Ask("a", 4 * MB, Ok(())),
            ],
            held: 36 * MB + SMALL_BODY,
        },
        // A workspace that filled the budget gets no more until it is below its half.
        Test {
            events: &[
                Ask("a", 28 * MB, Ok(())),
                Ask("a", 28 * MB, Ok(())),
                Ask("b", 10 * MB, Err(Full)),
                Release(0),
                Ask("a", 10 * MB, Err(Share)),
                Ask("b", 10 * MB, Ok(())),
            ],
            held: 38 * MB,
        },
        // While a body without a length is copied into a larger buffer, both count.
        Test {
            events: &[
                Ask("a", 16 * MB, Ok(())),
                Ask("a", SMALL_BODY, Ok(())),
                Grow(1, 24 * MB, Ok(())),
                Grow(1, 32 * MB, Err(Full)),
                Grow(1, 57 * MB, Err(TooLarge)),
                Release(0),
                Grow(1, 32 * MB, Ok(())),
            ],
            held: 32 * MB,
        },
    ] {
        assert_eq!(apply(test.events).held(), test.held, "{:?}", test.events);
    }
}

/// A budget that drains at a known rate refuses a body. A constant `Retry-After` would bring
/// callers back before there is room, or all at once.
#[test]
fn refused_callers_return_when_there_is_room() {
    struct Test {
        /// The bytes freed at once, 100 ms before the refusal.
        freed: usize,
        bytes: usize,
        /// The expected wait, from and to.
        wait: (u64, u64),
    }

    for test in [
        // Nothing drains: the longest wait.
        Test {
            freed: 0,
            bytes: 8 * MB,
            wait: (1_000, 1_000),
        },
        // 16 MB in the last second: 4 MB are free in about a quarter of it.
        Test {
            freed: 16 * MB,
            bytes: 20 * MB,
            wait: (200, 400),
        },
        // Another gateway has to take it.
        Test {
            freed: 16 * MB,
            bytes: 60 * MB,
            wait: (20, 20),
        },
    ] {
        let mut budget = MemoryBudget::new(64 * MB);
        let mut reserve = |bytes, now| {
            let request = MemoryRequest {
                bytes,
                kind: HeldKind::Body,
                workspace: "",
            };
            budget.reserve(request, now).map_err(|refusal| refusal.wait)
        };
        let _rest = reserve(56 * MB - test.freed, Millis(0)).unwrap();
        if test.freed > 0 {
            let freed = reserve(test.freed, Millis(0)).unwrap();
            budget.release(freed, Millis(5_000));
        }
        let request = MemoryRequest {
            bytes: test.bytes,
            kind: HeldKind::Body,
            workspace: "",
        };
        let wait = budget.reserve(request, Millis(5_100)).unwrap_err().wait.0;
        assert!(
            (test.wait.0..=test.wait.1).contains(&wait),
            "{wait} {}",
            test.bytes
        );
    }
    let waits: std::collections::BTreeSet<u64> = (0..1_000)
        .map(|hash| spread_wait(Millis(100), hash).0)
        .collect();
    assert_eq!(
        (waits.first(), waits.last(), waits.len()),
        (Some(&100), Some(&200), 101)
    );
}

/// Answers fill the budget and some readers take nothing. The largest of their answers must be
/// cut, no more than needed, and never the answer of a reader that makes progress.
#[test]
fn stalled_readers_of_large_answers_are_cut_first() {
    struct Test {
        /// Megabytes held for bodies.
        bodies: usize,
        /// Megabytes of each answer, and the bytes its reader takes after a second.
        answers: &'static [(usize, u64)],
        /// When readers are cut, in ms after the answers began.
        at: u64,
        /// Megabytes that a caller asks for just before.
        asked: usize,
        /// Megabytes of the answers that are cut.
        cut: &'static [usize],
    }

    for test in [
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 0), (20, 0)],
            at: 2_000,
            asked: 0,
            cut: &[30],
        },
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 1), (20, 0)],
            at: 2_000,
            asked: 0,
            cut: &[20],
        },
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 0), (20, 0)],
            at: 1_999,
            asked: 0,
            cut: &[],
        },
        // A reader that stopped after its first progress.
        Test {
            bodies: 0,
            answers: &[(30, 1), (30, 1)],
            at: 3_000,
            asked: 0,
            cut: &[30],
        },
        // There is room, and then a body that needs more.
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 0)],
            at: 2_500,
            asked: 0,
            cut: &[],
        },
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 0)],
            at: 2_500,
            asked: 20,
            cut: &[30],
        },
        Test {
            bodies: 0,
            answers: &[(10, 0), (30, 0)],
            at: 2_500,
            asked: 50,
            cut: &[30, 10],
        },
        // Bodies fill the budget.
        Test {
            bodies: 40,
            answers: &[(16, 0)],
            at: 2_500,
            asked: 20,
            cut: &[],
        },
    ] {
        let mut budget = MemoryBudget::new(64 * MB);
        let mut hold = |bytes, kind| {
            let request = MemoryRequest {
                bytes,
                kind,
                workspace: "",
            };
            budget.hold(request, 7, Millis(0))
        };
        hold(test.bodies * MB, HeldKind::Body);
        let answers = test.answers.iter();
        let answers: Vec<_> = answers
            .map(|(size, taken)| (hold(size * MB, HeldKind::Answer), *taken))
            .collect();
        for (id, taken) in answers {
            budget.record_taken(id, 7 + taken, Millis(1_000));
        }
        let now = Millis(test.at);
        if test.asked > 0 {
            let bytes = test.asked * MB;
            let request = MemoryRequest {
                bytes,
                kind: HeldKind::Body,
                workspace: "",
            };
            assert!(budget.reserve(request, now).is_err());
        }
        let cut: Vec<usize> = budget
            .cut_slow(now)
            .iter()
            .map(|cut| cut.bytes / MB)
            .collect();
        assert_eq!(cut, test.cut, "{:?} at {}", test.answers, test.at);
        assert!(budget.cut_slow(now).is_empty(), "cut twice");
    }
}

/// Bodies stop arriving while others are refused. The largest must be given up, no more than
/// needed; one that still arrives must not, nor one that waits for a server, nor any at no
/// shortage.
#[test]
fn bodies_that_stop_are_given_up_first() {
    struct Test {
        /// Megabytes of each body, the bytes that arrived after a second, and whether it has
        /// arrived whole.
        bodies: &'static [(usize, u64, bool)],
        /// When bodies are given up, in ms after they began.
        at: u64,
        /// Megabytes that a caller asks for just before; 0 for nobody.
        asked: usize,
        /// Megabytes of the bodies that are given up.
        cut: &'static [usize],
    }

    for test in [
        Test {
            bodies: &[(10, 0, false), (30, 0, false), (12, 0, false)],
            at: 2_000,
            asked: 8,
            cut: &[30],
        },
        Test {
            bodies: &[(10, 0, false), (30, 0, false), (12, 0, false)],
            at: 1_999,
            asked: 8,
            cut: &[],
        },
        // At no shortage a body may take its time.
        Test {
            bodies: &[(10, 0, false), (30, 0, false), (12, 0, false)],
            at: 9_000,
            asked: 0,
            cut: &[],
        },
        // The largest still arrives.
        Test {
            bodies: &[(10, 0, false), (30, 100_000, false), (12, 0, false)],
            at: 2_500,
            asked: 8,
            cut: &[12],
        },
        // Single bytes are no progress.
        Test {
            bodies: &[(10, 0, false), (30, 100, false), (12, 0, false)],
            at: 2_500,
            asked: 8,
            cut: &[30],
        },
        // The largest waits for a server.
        Test {
            bodies: &[(10, 0, false), (30, 0, true), (12, 0, false)],
            at: 2_500,
            asked: 20,
            cut: &[12, 10],
        },
    ] {
        let mut budget = MemoryBudget::new(64 * MB);
        let mut uploads = Vec::new();
        for (size, arrived, whole) in test.bodies {
            let request = MemoryRequest {
                bytes: size * MB,
                kind: HeldKind::Upload,
                workspace: "",
            };
            let id = budget.reserve(request, Millis(0)).unwrap();
            uploads.push((id, *arrived));
            if *whole {
                budget.set_arrived(id);
            }
        }
        for (id, arrived) in uploads {
            budget.record_taken(id, arrived, Millis(1_000));
        }
        let now = Millis(test.at);
        if test.asked > 0 {
            let request = MemoryRequest {
                bytes: test.asked * MB,
                kind: HeldKind::Upload,
                workspace: "",
            };
            assert!(budget.reserve(request, now).is_err(), "{:?}", test.bodies);
        }
        let cut = budget.cut_slow(now);
        let cut: Vec<usize> = cut.iter().map(|cut| cut.bytes / MB).collect();
        assert_eq!(cut, test.cut, "{:?} at {}", test.bodies, test.at);
    }
}

/// Limits of instances, down to the smallest that settings accept. A budget or a number of
/// connections of zero would refuse every caller.
#[test]
fn budgets_follow_the_limits_of_the_instance() {
    struct Test {
        /// Megabytes of the instance, and of the budget.
        memory: (usize, usize),
        /// Descriptors, and callers' connections.
        descriptors: (usize, usize),
        /// Callers' connections that fit into the memory.
        connections: usize,
        /// Megabytes for answers.
        answers: usize,
        /// Reads of pages at a time.
        reads: usize,
    }

    for test in [
        Test {
            memory: (512, 256),
            descriptors: (8_200, 6_000),
            connections: 2_184,
            answers: 24,
            reads: 42,
        },
        Test {
            memory: (160, 80),
            descriptors: (4_100, 2_925),
            connections: 682,
            answers: 24,
            reads: 13,
        },
        Test {
            memory: (120, 60),
            descriptors: (3_075, 2_154),
            connections: 512,
            answers: 24,
            reads: 10,
        },
        Test {
            memory: (64, 16),
            descriptors: (256, 42),
            connections: 273,
            answers: 12,
            reads: 5,
        },
        Test {
            memory: (32, 4),
            descriptors: (0, 16),
            connections: 136,
            answers: 6,
            reads: 2,
        },
    ] {
        assert_eq!(budget_size(test.memory.0 * MB), test.memory.1 * MB);
        assert_eq!(max_connections(test.descriptors.0), test.descriptors.1);
        let limit = test.memory.0 * MB;
        assert_eq!(connections_in_memory(limit), test.connections);
        assert_eq!(answers_size(limit) / MB, test.answers);
        assert_eq!(max_reads(limit), test.reads);
    }
}

/// A gateway's timer is late for some time. One that just starts, or is late for a moment,
/// must not send its callers away; one that stays late must.
#[test]
fn a_lagging_gateway_sends_callers_away() {
    struct Test {
        /// How late the timer is, and for how long, in ms.
        lags: &'static [(u64, u64)],
        overloaded: bool,
        /// Whether the gateway is ready in its turn.
        ready: bool,
    }

    for test in [
        Test {
            lags: &[(5, 60_000)],
            overloaded: false,
            ready: true,
        },
        Test {
            lags: &[(900, 2_500)],
            overloaded: false,
            ready: true,
        },
        Test {
            lags: &[(5, 4_000), (150, 900)],
            overloaded: false,
            ready: true,
        },
        Test {
            lags: &[(5, 4_000), (150, 30_000)],
            overloaded: true,
            ready: true,
        },
        Test {
            lags: &[(5, 4_000), (600, 1_500)],
            overloaded: true,
            ready: true,
        },
        Test {
            lags: &[(5, 4_000), (600, 60_000)],
            overloaded: true,
            ready: false,
        },
        Test {
            lags: &[(5, 4_000), (600, 60_000), (5, 50)],
            overloaded: false,
            ready: true,
        },
        Test {
            lags: &[(5, 4_000), (3_000, 3_000), (5, 50)],
            overloaded: false,
            ready: true,
        },
    ] {
        // Time passes in the turn of the gateway only.
        let mut lag = LoopLag::new("gateway", Millis(0));
        let turn = (0..12).map(|turn| Millis(turn * 5_000)).find(|turn| {
            let mut probe = LoopLag::new("gateway", Millis(0));
            (0..9).for_each(|at| probe.record(Millis(600), Millis(4_000 + at * 650), *turn));
            !probe.is_ready(*turn)
        });
        let turn = turn.unwrap();
        let mut now = Millis(0);
        for (late, time) in test.lags {
            let end = now + Millis(*time);
            while now < end {
                now = now + SAMPLE_INTERVAL + Millis(*late);
                lag.record(Millis(*late), now, turn);
            }
        }
        assert_eq!(lag.is_overloaded(), test.overloaded, "{:?}", test.lags);
        assert_eq!(lag.is_ready(turn), test.ready, "{:?}", test.lags);
        assert!(
            lag.is_ready(turn + Millis(5_000)),
            "not ready after its turn"
        );
    }
}

/// All gateways of a site lag for two minutes. If more than a quarter of them were not ready
/// at once, the others would get their callers as well and lag more.
#[test]
fn most_lagging_gateways_stay_ready() {
    for count in [29, 39, 460] {
        let mut lags: Vec<_> = (0..count)
            .map(|index| LoopLag::new(&format!("gateway-{index}"), Millis(0)))
            .collect();
        let mut left = vec![0; count];
        for step in 1..200_u64 {
            let now = Millis(step * 600);
            let mut unready = 0;
            for (lag, left) in lags.iter_mut().zip(&mut left) {
                lag.record(Millis(550), now, now);
                let away = !lag.is_ready(now);
                unready += usize::from(away);
                *left += usize::from(away);
            }
            assert!(unready <= count / 4, "{unready} of {count} are not ready");
        }
        assert!(
            left.iter().all(|left| *left > 0),
            "a gateway never had its turn"
        );
    }
}
