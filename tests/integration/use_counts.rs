//! Counts of each workspace's use, and the lease of the gateway that reports them.

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

/// A request counts in the window in which it began. Once that is closed, it counts in
/// the oldest open window, so that it is not lost and no closed window changes.
#[test]
fn requests_are_counted_in_their_window() {
    let mut tally = Tally::new(WINDOWS, Millis(10_000));
    for (began, workspace) in [(10_000, "a"), (14_999, "a"), (15_000, "b"), (12_000, "b")] {
        tally.record(workspace, Millis(began));
    }
    tally.close(Millis(16_799));
    let (window, part) = tally.unwritten().map(|(w, p)| (w, p.clone())).unwrap();
    assert_eq!((window, part.closed), (2, false));
    tally.close(Millis(16_800));
    // The part of before the close is in the store, but the close has changed it: it
    // must be written again.
    tally.set_written(window, &part);
    let (window, part) = tally.unwritten().map(|(w, p)| (w, p.clone())).unwrap();
    assert_eq!((window, part.closed), (2, true));
    assert_eq!(
        part.counts,
        BTreeMap::from([("a".to_owned(), 2), ("b".to_owned(), 1)])
    );
    tally.set_written(window, &part);
    tally.record("c", Millis(11_000));
    let (window, part) = tally.unwritten().unwrap();
    assert_eq!(window, 3);
    assert_eq!(part.counts["c"], 1);
}

/// A window is summed up once all gateways have closed it. If a gateway is gone, the
/// sum is made without it after 6.5 s.
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

/// With a third of the clocks set wrong, the median offset stays that of the others.
#[test]
fn wrong_clocks_dont_move_the_median() {
    assert_eq!(median(&mut []), None);
    assert_eq!(median(&mut [7]), Some(7));
    let mut offsets = [1_000, 1_002, 3_000, 1_001, -9_000, 3_001, 1_003];
    assert_eq!(median(&mut offsets), Some(1_002));
}

/// The duration of the lease in the model.
const LEASE_DURATION: Millis = Millis(3_000);
/// The longest time that a report is in transit.
const MAX_SEND_TIME: Millis = Millis(800);
/// Added to [`MAX_SEND_TIME`] when a holder checks whether it may still send.
const SEND_SLACK: Millis = Millis(400);

/// When the faults of the model end, in ms.
const FAULTS_END: u64 = 50_000;
/// When the model ends, in ms.
const MODEL_END: u64 = 70_000;

/// The longest time for which a contender freezes, in ms.
const MAX_FREEZE: u64 = 9_000;

/// A process that wants to hold the lease and send reports. All its times are in ms.
struct Contender {
    /// Its call to the store in progress.
    call: Option<StoreCall>,
    /// It does nothing before this time.
    frozen_until: u64,
    held: Option<HeldLease>,
    claimant: Claimant,
    /// When it takes its next step.
    next: u64,
    watch: LeaseWatch,
}

/// A call to the store in progress.
enum StoreCall {
    /// Reads the lease; the answer arrives at `at`, with the row and revision as they
    /// were when the call was made.
    Read { at: u64, row: (u64, Option<Lease>) },
    /// Writes the lease if the row still has the revision `expect`. The write takes
    /// effect at `done`, and the answer arrives at `at` unless it is lost. `outcome` is
    /// whether it was written.
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

/// The lease in the store, with the revision of its row.
#[derive(Default)]
struct Row {
    lease: Option<Lease>,
    revision: u64,
}

/// A report that reached the platform.
#[derive(Clone, Copy, Debug)]
struct ReportSend {
    at: u64,
    fence: Fence,
    /// The index of the sender.
    contender: usize,
}

/// The faults in one step of a contender. Its name and fields appear in the cases saved
/// beside this file.
#[derive(Clone, Copy, Debug)]
struct Luck {
    /// The duration of the call to the store.
    answer: u64,
    /// How long the contender freezes after this step, if it does.
    freeze: Option<u64>,
    lost: bool,
    /// How long a report is in transit.
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

    /// Takes one step at `now`: handles the answer to its last call or makes a new one,
    /// and sends a report if its lease allows that.
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
            // The store carries the write out even while the contender is frozen.
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

    /// Handles the lease as read from the store, and writes it if due.
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

    /// Contenders freeze at any moment, the store is slow and loses answers, and
    /// reports take long to arrive. The platform must never see a fencing token
    /// decrease or come from two holders, nor a former holder return within the
    /// duration of a lease. Soon after the faults end, some contender must report
    /// again.
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
        // Once the faults have ended, a contender takes over within two leases.
        let takeover_limit = FAULTS_END + MAX_FREEZE + 2 * LEASE_DURATION.0;
        prop_assert!(sent.iter().any(|send| (FAULTS_END..takeover_limit).contains(&send.at)));
    }
}
