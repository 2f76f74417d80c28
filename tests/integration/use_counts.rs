//! What is counted and reported of each workspace's use, and by whom.

use proptest::prelude::*;
use redwingpond::{
    base::{Fence, Incarnation, Millis},
    policy::{
        lease::{Claimant, HeldLease, Lease, LeaseAction, LeaseWatch},
        usage::{Counts, Part, Tally, Windows, may_sum, median, sum}, //
    },
};
use std::collections::BTreeMap;

const WINDOWS: Windows = Windows {
    length: Millis(5_000),
};

/// Requests count in the window in which they began; once that is closed, in the oldest
/// open one, so that none is lost and no closed window changes.
#[test]
fn requests_are_counted_in_their_window() {
    let mut tally = Tally::new(WINDOWS, Millis(10_000));
    for (began, workspace) in [(10_000, "a"), (14_999, "a"), (15_000, "b"), (12_000, "b")] {
        tally.note(workspace, Millis(began));
    }
    tally.close(Millis(16_799));
    let (window, part) = tally.unwritten().map(|(w, p)| (w, p.clone())).unwrap();
    assert_eq!((window, part.closed), (2, false));
    tally.close(Millis(16_800));
    // The write of before was done: what changed since is written anew.
    tally.set_written(window, &part);
    let (window, part) = tally.unwritten().map(|(w, p)| (w, p.clone())).unwrap();
    assert_eq!((window, part.closed), (2, true));
    assert_eq!(
        part.counts,
        BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)])
    );
    tally.set_written(window, &part);
    tally.note("c", Millis(11_000));
    let (window, part) = tally.unwritten().unwrap();
    assert_eq!(window, 3);
    assert_eq!(part.counts["c"], 1);
}

/// A window is summed up once all gateways have closed it, or late enough that those
/// that are gone won't.
#[test]
fn windows_are_summed_once_all_gateways_closed_them() {
    struct Test {
        after: u64,
        missing: usize,
        summed: bool,
    }

    for test in [
        Test {
            after: 1_000,
            missing: 0,
            summed: false,
        },
        Test {
            after: 1_800,
            missing: 0,
            summed: true,
        },
        Test {
            after: 6_000,
            missing: 1,
            summed: false,
        },
        Test {
            after: 6_500,
            missing: 30,
            summed: true,
        },
    ] {
        let end = Millis(100_000);
        let summed = may_sum(end, test.missing, end + Millis(test.after));
        assert_eq!(summed, test.summed, "{} {}", test.after, test.missing);
    }
    let part = |name: &str, count| Part {
        closed: true,
        counts: Counts::from([(name.to_owned(), count)]),
    };
    let all = sum([&part("a", 2), &part("b", 1), &part("a", 3)]);
    assert_eq!(
        all,
        Counts::from([("a".to_owned(), 5), ("b".to_owned(), 1)])
    );
}

/// A third of the clocks is set wrong: true time stays where the others are.
#[test]
fn wrong_clocks_dont_move_the_median() {
    assert_eq!(median(&mut []), None);
    assert_eq!(median(&mut [7]), Some(7));
    let mut offsets = [1_000, 1_002, 3_000, 1_001, -9_000, 3_001, 1_003];
    assert_eq!(median(&mut offsets), Some(1_002));
}

/// How long a lease lasts in the model, and how long a send may take.
const LEASE_DURATION: Millis = Millis(3_000);
const MAX_SEND_TIME: Millis = Millis(800);
const SEND_SLACK: Millis = Millis(400);

/// When the model grows calm, and when it ends.
const FAULTS_END: u64 = 50_000;
const MODEL_END: u64 = 70_000;

/// The longest that a contender stands still.
const MAX_FREEZE: u64 = 9_000;

/// One contender for the lease, which asks the store over and over.
struct Contender {
    call: Option<StoreCall>,
    /// Until when it stands still.
    frozen_until: u64,
    held: Option<HeldLease>,
    claimant: Claimant,
    next: u64,
    watch: LeaseWatch,
}

/// A call that is under way.
enum StoreCall {
    /// Its answer comes at this time, with what the store held when it asked.
    Read { at: u64, row: (u64, Option<Lease>) },
    /// It is done at `done`; its answer comes at `at`, unless it is lost.
    Write {
        asked: u64,
        at: u64,
        done: Option<u64>,
        expect: u64,
        lease: Lease,
        lost: bool,
        outcome: Option<bool>,
    },
}

/// The row of the lease, with its revision.
#[derive(Default)]
struct Row {
    lease: Option<Lease>,
    revision: u64,
}

/// A send that reached the platform.
#[derive(Clone, Copy, Debug)]
struct ReportSend {
    at: u64,
    fence: Fence,
    contender: usize,
}

/// What goes wrong in one step of a contender.
#[derive(Clone, Copy, Debug)]
struct Luck {
    /// How long the store's answer takes.
    answer: u64,
    /// How long it stands still after this step, if it does.
    freeze: Option<u64>,
    lost: bool,
    /// How long a send is on its way.
    travel: u64,
}

fn luck() -> impl Strategy<Value = Luck> {
    let freeze = prop_oneof![30 => Just(None), 1 => (500..MAX_FREEZE).prop_map(Some)];
    let answer = prop_oneof![8 => 2_u64..20, 1 => 200_u64..2_500];
    let lost = prop_oneof![9 => Just(false), 1 => Just(true)];
    (answer, freeze, lost, 1..MAX_SEND_TIME.0).prop_map(|(answer, freeze, lost, travel)| Luck {
        answer,
        freeze,
        lost,
        travel,
    })
}

impl Contender {
    fn new(number: usize) -> Self {
        Self {
            call: None,
            frozen_until: 0,
            held: None,
            claimant: Claimant {
                address: String::new(),
                holder: format!("gateway-{number}"),
                incarnation: Incarnation(1),
            },
            next: number as u64 * 37,
            watch: LeaseWatch::default(),
        }
    }

    /// One step at `now`: takes an answer, asks anew, or sends if it may.
    fn step(&mut self, now: u64, row: &mut Row, luck: Luck) -> Option<ReportSend> {
        if let Some(StoreCall::Write {
            done: Some(done),
            expect,
            lease,
            outcome,
            ..
        }) = &mut self.call
            && *done <= now
            && outcome.is_none()
        {
            // The store does it whether or not the contender stands still.
            *outcome = Some(row.revision == *expect);
            if row.revision == *expect {
                row.revision += 1;
                row.lease = Some(lease.clone());
            }
        }
        if now < self.frozen_until || now < self.next {
            return None;
        }
        self.next = now + 50;
        if let Some(freeze) = luck.freeze {
            self.frozen_until = now + freeze;
        }
        match self.call.take() {
            Some(StoreCall::Read { at, row }) if at <= now => self.read(now, row, luck),
            Some(StoreCall::Write {
                asked,
                at,
                lease,
                lost,
                outcome,
                ..
            }) if at <= now => match outcome {
                Some(true) if !lost => {
                    self.held = Some(HeldLease {
                        epoch: lease.epoch,
                        since: Millis(asked),
                    });
                    self.watch.observe(Millis(now), Some(lease));
                }
                Some(false) if !lost => self.held = None,
                _ => {}
            },
            Some(call) => self.call = Some(call),
            None => {
                let row = (row.revision, row.lease.clone());
                self.call = Some(StoreCall::Read {
                    at: now + luck.answer,
                    row,
                });
            }
        }
        let held = self.held?;
        let allowed = held.allows(Millis(now), MAX_SEND_TIME + SEND_SLACK, LEASE_DURATION);
        allowed.then_some(ReportSend {
            at: now + luck.travel,
            fence: held.epoch,
            contender: 0,
        })
    }

    fn read(&mut self, now: u64, (revision, lease): (u64, Option<Lease>), luck: Luck) {
        self.watch.observe(Millis(now), lease.clone());
        if !lease.is_some_and(|lease| self.claimant.holds(&lease)) {
            self.held = None;
        }
        if let LeaseAction::Write(lease) =
            self.watch
                .decide(Millis(now), &self.claimant, LEASE_DURATION)
        {
            self.call = Some(StoreCall::Write {
                asked: now,
                at: now + luck.answer,
                done: Some(now + luck.answer / 2),
                expect: revision,
                lease,
                lost: luck.lost,
                outcome: None,
            });
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Contenders freeze at any moment, the store is slow and loses answers, sends are
    /// long on their way. The platform never sees a number fall, never one of two
    /// holders, and no holder that comes back within a lease; and somebody acts again
    /// soon after.
    #[test]
    fn two_holders_never_report_at_once(
        contenders in 2_usize..4,
        script in proptest::collection::vec(luck(), 64..256),
    ) {
        let mut row = Row::default();
        let mut all: Vec<Contender> = (0..contenders).map(Contender::new).collect();
        let mut sent: Vec<ReportSend> = Vec::new();
        let mut draws = 0;
        for now in (0..MODEL_END).step_by(10) {
            for (index, contender) in all.iter_mut().enumerate() {
                let luck = match now < FAULTS_END {
                    true => script[draws % script.len()],
                    false => Luck { answer: 5, freeze: None, lost: false, travel: 1 },
                };
                draws += 1;
                sent.extend(contender.step(now, &mut row, luck).map(|send| ReportSend { contender: index, ..send }));
            }
        }
        sent.sort_by_key(|sent| sent.at);
        let mut highest = 0;
        let mut owners: BTreeMap<Fence, usize> = BTreeMap::new();
        let mut last: BTreeMap<usize, u64> = BTreeMap::new();
        for (number, send) in sent.iter().enumerate() {
            prop_assert!(send.fence >= highest, "{send:?} after {highest}");
            highest = send.fence;
            prop_assert_eq!(*owners.entry(send.fence).or_insert(send.contender), send.contender);
            let is_handover = number > 0 && sent[number - 1].contender != send.contender;
            if let Some(before) = last.get(&send.contender).filter(|_| is_handover) {
                prop_assert!(send.at - before >= LEASE_DURATION.0, "{send:?} back after {before}");
            }
            last.insert(send.contender, send.at);
        }
        // Once all is calm somebody takes over within two leases.
        let takeover_limit = FAULTS_END + MAX_FREEZE + 2 * LEASE_DURATION.0;
        prop_assert!(sent.iter().any(|send| (FAULTS_END..takeover_limit).contains(&send.at)));
    }
}
