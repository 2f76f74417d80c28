//! The decisions of gateways and runners, which are functions without side effects:
//! tables of cases, and small simulations of the loads that they are made for.

use proptest::prelude::*;
use redwingpond::{
    base::Millis,
    policy::{
        adaptive_timeout::AdaptiveTimeout,
        batch_age::{Action, BatchAge, BatchState, decide},
        claim_choice::{Holder, Offer, Place, Runner, choose, is_assigned, usable_slots},
        engine_incarnation::{Mismatch, current_incarnation, is_caught_up},
        liveness::{ClaimWrite, LastHeartbeat, is_working},
        model_share::{BatchDemand, Demand, Member, assign_models, demands},
        pace::{Pace, is_slower, is_straggler, usual_pace},
        server_choice::{self, Candidate, hedge_delay},
        server_load::Observed,
        step_mode::{OpenStep, Rate, StepMode, Supply, is_ample, step_modes},
        version_plan::{self, LoadDecision, Situation, is_load_turn}, //
    },
};

/// The place of a runner that is alone in its group.
const ONLY_RUNNER: Place = Place { count: 1, rank: 0 };

/// An unclaimed bundle of a new batch, with four items, that the runner may take.
fn offer(bundle: u16) -> Offer {
    Offer {
        age: Millis(0),
        batch: 0,
        surplus: false,
        due: Millis(7_500),
        bundle,
        claimed: false,
        holder: Holder::Nobody,
        home: true,
        leave_time: Millis(0),
        remaining: 4,
        position: usize::from(bundle),
        loaded: true,
        order: bundle,
        mode: StepMode::Whole,
        work: 0,
    }
}

/// A bundle that another runner has held for `since` ms. Its engine takes `pace` times
/// as long for an event as this runner's.
fn held(pace: f64, since: u64) -> Holder {
    Holder::Held {
        joinable: true,
        pace,
        second_run: None,
        since: Millis(since),
        slower: false,
    }
}

/// A runner whose engine is of the usual kind and has `room` for further items.
fn usual_runner(place: Place, room: u32) -> Runner {
    Runner {
        place,
        room,
        slower: false,
        yields: false,
    }
}

/// The offers to a runner, and the bundle that it takes.
struct Choice {
    name: &'static str,
    offers: Vec<Offer>,
    place: Place,
    room: u32,
    takes: Option<u16>,
}

impl Choice {
    fn run(&self) {
        let taken = choose(&self.offers, usual_runner(self.place, self.room));
        assert_eq!(taken.map(|offer| offer.bundle), self.takes, "{}", self.name);
    }
}

/// A runner takes one of the bundles that nobody holds: it must be able to run it, and
/// prefers its own share, what is due first, and its home model.
#[test]
fn a_runner_takes_the_best_unheld_bundle() {
    let other_model = Offer {
        home: false,
        ..offer(1)
    };
    for test in [
        Choice {
            name: "the first in order",
            offers: vec![offer(2), offer(1)],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(1),
        },
        Choice {
            name: "its own share of a new batch",
            offers: vec![offer(0), offer(1), offer(2)],
            place: Place { count: 3, rank: 2 },
            room: 12,
            takes: Some(2),
        },
        Choice {
            name: "the batch that is due first",
            offers: vec![
                offer(0),
                Offer {
                    due: Millis(5_000),
                    ..offer(9)
                },
            ],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(9),
        },
        Choice {
            name: "nothing without room",
            offers: vec![offer(0)],
            place: ONLY_RUNNER,
            room: 0,
            takes: None,
        },
        Choice {
            name: "nothing that needs newer weights than the engine has",
            offers: vec![Offer {
                loaded: false,
                ..offer(0)
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: None,
        },
        Choice {
            name: "no new bundle of another model",
            offers: vec![other_model],
            place: ONLY_RUNNER,
            room: 12,
            takes: None,
        },
        Choice {
            name: "a bundle of another model that nobody took for 500 ms",
            offers: vec![Offer {
                age: Millis(500),
                ..other_model
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(1),
        },
    ] {
        test.run();
    }
}

/// A runner joins a bundle of another runner only if that one is much slower and this
/// one has room for all of the bundle.
#[test]
fn a_runner_joins_only_slow_holders() {
    for test in [
        Choice {
            name: "a holder of the usual pace is not joined",
            offers: vec![Offer {
                holder: held(1.2, 3_000),
                ..offer(0)
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: None,
        },
        Choice {
            name: "a slow holder is joined",
            offers: vec![Offer {
                holder: held(3.5, 800),
                ..offer(0)
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(0),
        },
        Choice {
            name: "an unclaimed bundle goes before a slow holder's",
            offers: vec![
                Offer {
                    holder: held(3.5, 800),
                    ..offer(0)
                },
                offer(5),
            ],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(5),
        },
        Choice {
            name: "without room for all of its items, a slow holder's bundle is not joined",
            offers: vec![Offer {
                holder: held(3.5, 800),
                ..offer(0)
            }],
            place: ONLY_RUNNER,
            room: 3,
            takes: None,
        },
    ] {
        test.run();
    }
}

/// A step of 24 bundles arrives at five runners at the same moment. Each takes three
/// before it sees the claims of the others. No two take the same bundle, so no claim is
/// lost to another.
#[test]
fn a_new_batch_is_taken_without_collisions() {
    let mut taken = Vec::new();
    for rank in 0..5 {
        let place = Place { count: 5, rank };
        let mut offers: Vec<Offer> = (0..24).map(offer).collect();
        let mut room = 12;
        while let Some(chosen) = choose(&offers, usual_runner(place, room)).copied() {
            offers.retain(|other| other.bundle != chosen.bundle);
            room -= chosen.remaining.min(room);
            taken.push(chosen.bundle);
        }
    }
    taken.sort_unstable();
    let all = taken.len();
    taken.dedup();
    assert_eq!((all, taken.len()), (15, 15));
}

/// While the store is unreachable and no claim can be written, each unclaimed bundle is
/// assigned to exactly one runner.
#[test]
fn each_bundle_is_assigned_to_one_runner() {
    for bundle in 0..24 {
        let runners = (0..5).filter(|rank| {
            let place = Place {
                count: 5,
                rank: *rank,
            };
            is_assigned(&offer(bundle), place)
        });
        assert_eq!(runners.count(), 1, "bundle {bundle}");
    }
    let claimed = Offer {
        holder: held(1.0, 0),
        ..offer(0)
    };
    assert!(!is_assigned(&claimed, ONLY_RUNNER));
}

/// The store becomes unreachable while it answers a claim, and the claiming runner
/// learns of its claim from the feed only. All others know that it holds the bundle, so
/// it must run it even if its place assigns the bundle to another runner.
#[test]
fn a_claim_known_only_from_the_feed_is_run_in_an_outage() {
    let other = Place { count: 3, rank: 1 };
    let known = Offer {
        claimed: true,
        ..offer(0)
    };
    assert!(!is_assigned(&offer(0), other));
    assert!(is_assigned(&known, other));
    let unloaded = Offer {
        loaded: false,
        ..known
    };
    assert!(!is_assigned(&unloaded, other));
}

/// An engine that takes four times as long as usual uses a quarter of its slots. One of
/// unknown pace, or one that is only slower because it is full, uses all.
#[test]
fn a_straggler_uses_fewer_slots() {
    for (pace, usual, slots) in [
        (0.0, 0.0, 12),
        (0.0, 30.0, 12),
        (40.0, 30.0, 12),
        (120.0, 30.0, 3),
    ] {
        assert_eq!(usable_slots(12, pace, usual), slots, "{pace} of {usual}");
    }
    assert_eq!(usable_slots(2, 120.0, 30.0), 1);
}

/// The situation of an engine, and whether it loads new weights.
struct LoadCase {
    name: &'static str,
    situation: Situation,
    decision: LoadDecision,
}

impl LoadCase {
    fn run(&self) {
        assert_eq!(
            version_plan::decide(&self.situation),
            self.decision,
            "{}",
            self.name
        );
    }
}

/// An idle engine of the model's own runners that holds version 4, 2 s after version 5
/// was named. No other engine loads or has version 5.
const IDLE_ENGINE: Situation = Situation {
    outage: None,
    held: 4,
    home: true,
    loading: 0,
    models: 2,
    named: 5,
    named_for: Millis(2_000),
    needed: 4,
    needed_for: Millis(0),
    place: Place { count: 5, rank: 0 },
    ready: 0,
    runners: 9,
    is_turn: true,
    next_near: false,
    waiting: false,
};

/// A load that no work waits for gives way to the loads of models with fewer engines
/// ready, and to the runners whose turn it is.
#[test]
fn loads_without_waiting_work_give_way() {
    for test in [
        LoadCase {
            name: "half of the engines are ready, and another engine loads",
            situation: Situation {
                loading: 1,
                ready: 3,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "half of the engines are ready, and none loads",
            situation: Situation {
                ready: 3,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "less than half are ready, and another engine loads",
            situation: Situation {
                loading: 1,
                ready: 2,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "it is another runner's turn",
            situation: Situation {
                is_turn: false,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
    ] {
        test.run();
    }
}

/// When an engine loads weights that no work needs yet.
#[test]
fn engines_load_weights_early_while_idle() {
    for test in [
        LoadCase {
            name: "the engine holds the newest version",
            situation: Situation {
                held: 5,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "no work waits",
            situation: IDLE_ENGINE,
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "work waits that the held version may run",
            situation: Situation {
                waiting: true,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "the version was just named, and its step may follow",
            situation: Situation {
                named_for: Millis(100),
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "another model's engine",
            situation: Situation {
                home: false,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "two engines load already",
            situation: Situation {
                loading: 2,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "eight of 46 load, and nine may",
            situation: Situation {
                loading: 8,
                models: 3,
                runners: 46,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "nine of 46 engines load already",
            situation: Situation {
                loading: 9,
                models: 3,
                runners: 46,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
    ] {
        test.run();
    }
}

/// One bundle of a model waits for a slot while the engines of other models are idle.
/// All of them loaded the model's weights at the same moment, three seconds after the
/// batch arrived, and were unavailable to the next steps of their own models for two
/// seconds. They must load one after another, so that the first ones leave no work to
/// the others.
#[test]
fn other_models_engines_load_one_after_another() {
    let loading_engines = |waited: u64| {
        let loads = |rank: &usize| {
            let situation = Situation {
                home: false,
                needed: 5,
                needed_for: Millis(waited),
                place: Place {
                    count: 18,
                    rank: *rank,
                },
                runners: 44,
                waiting: true,
                ..IDLE_ENGINE
            };
            version_plan::decide(&situation) != LoadDecision::Wait
        };
        (0..18).filter(loads).count()
    };
    let counts = [2_900, 3_000, 3_400, 4_600].map(loading_engines);
    assert_eq!(counts, [0, 1, 2, 5]);
}

/// A trainer that is behind asks for two steps within two seconds. Half of its engines
/// load the version of the first step before they work on it, so that they are ready
/// for the second; the other half works on the first step meanwhile.
#[test]
fn half_of_the_engines_load_early_for_a_near_step() {
    let loads = |named: u64, next_near: bool| -> Vec<usize> {
        let loads_early = |rank: &usize| {
            let situation = Situation {
                held: named - 1,
                models: 3,
                named,
                named_for: Millis(500),
                needed: named - 1,
                place: Place {
                    count: 6,
                    rank: *rank,
                },
                runners: 44,
                next_near,
                waiting: true,
                ..IDLE_ENGINE
            };
            version_plan::decide(&situation) != LoadDecision::Wait
        };
        (0..6).filter(loads_early).collect()
    };
    assert!(loads(6, false).is_empty());
    assert_eq!(loads(6, true), [0, 2, 4]);
    assert_eq!(loads(7, true), [1, 3, 5]);
    let alone = Situation {
        place: ONLY_RUNNER,
        next_near: true,
        waiting: true,
        ..IDLE_ENGINE
    };
    assert_eq!(
        version_plan::decide(&alone),
        LoadDecision::Wait,
        "no other engine would work on the first step"
    );
}

/// Which incarnation of an engine gets requests, when a refusal names another one than
/// the store announces.
#[test]
fn an_engines_current_incarnation_is_known() {
    struct Test {
        name: &'static str,
        announced: Option<&'static str>,
        /// Whether a refusal of a request to `a` named `b`.
        mismatch: bool,
        /// Whether a report from there has shown a model of the runner's service.
        confirmed: bool,
        /// The incarnation that gets requests.
        current_id: Option<&'static str>,
    }

    let mismatch = Mismatch {
        at: Millis(0),
        expected: "a".to_owned(),
        found: "b".to_owned(),
    };
    let base = Test {
        name: "",
        announced: Some("a"),
        mismatch: true,
        confirmed: true,
        current_id: Some("b"),
    };
    for test in [
        Test {
            name: "an announcement without a mismatch",
            mismatch: false,
            current_id: Some("a"),
            ..base
        },
        Test {
            name: "the previous incarnation is still announced",
            ..base
        },
        Test {
            name: "the announcement of the previous incarnation expired",
            announced: None,
            ..base
        },
        Test {
            name: "a server of another service may now have the address",
            confirmed: false,
            current_id: Some("a"),
            ..base
        },
        Test {
            name: "the store announces the new incarnation",
            announced: Some("b"),
            ..base
        },
        Test {
            name: "a third incarnation is announced",
            announced: Some("c"),
            current_id: Some("c"),
            ..base
        },
    ] {
        let mismatch = test.mismatch.then_some(&mismatch);
        let found = current_incarnation(test.announced, mismatch, test.confirmed);
        assert_eq!(found, test.current_id, "{}", test.name);
    }
    assert!(!is_caught_up(None, &mismatch) && !is_caught_up(Some("a"), &mismatch));
    assert!(is_caught_up(Some("b"), &mismatch) && is_caught_up(Some("c"), &mismatch));
}

/// While the store is unreachable, no heartbeat shows which engines load. Idle engines
/// load the named weights in waves by their place, so that they are ready for the next
/// step.
#[test]
fn weights_are_loaded_in_waves_during_an_outage() {
    let in_outage = |millis: u64, rank: usize| Situation {
        outage: Some(Millis(millis)),
        loading: 9,
        named_for: Millis(20_000),
        place: Place { count: 5, rank },
        ..IDLE_ENGINE
    };
    for test in [
        LoadCase {
            name: "the store has only just become unreachable",
            situation: in_outage(200, 0),
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "the first wave, whatever old heartbeats say of other loads",
            situation: in_outage(500, 0),
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "the third wave waits for two loads",
            situation: in_outage(2_400, 2),
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "the third wave",
            situation: in_outage(2_500, 2),
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "a version that was named only as the store returned",
            situation: Situation {
                named_for: Millis(10),
                ..in_outage(7_000, 0)
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "work waits for this engine",
            situation: Situation {
                waiting: true,
                ..in_outage(9_000, 0)
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "another model's engine",
            situation: Situation {
                home: false,
                ..in_outage(9_000, 0)
            },
            decision: LoadDecision::Wait,
        },
    ] {
        test.run();
    }
}

/// When an engine loads weights that waiting work needs.
#[test]
fn needed_weights_are_loaded_soon() {
    for test in [
        LoadCase {
            name: "the held version is too old",
            situation: Situation {
                named_for: Millis(0),
                needed: 5,
                waiting: true,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "too old, but two engines load already",
            situation: Situation {
                loading: 2,
                named_for: Millis(900),
                needed: 5,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "too old for so long that the loading engines may have crashed",
            situation: Situation {
                loading: 2,
                named_for: Millis(1_900),
                needed_for: Millis(1_900),
                needed: 5,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
    ] {
        test.run();
    }
}

/// The demand for `model`, which amounts to `work`.
fn demand(model: &str, work: f64) -> Demand {
    Demand {
        length_class: 0,
        model: model.to_owned(),
        work,
    }
}

const NEW: Member = Member {
    home: None,
    slower: false,
};

/// Assigns `count` runners that have no home model yet.
fn assign(demands: &[Demand], count: usize) -> Vec<usize> {
    assign_models(demands, &vec![NEW; count])
}

/// Each model gets runners in proportion to its demand, and at least one while there
/// are enough.
#[test]
fn runners_are_assigned_by_demand() {
    struct Test {
        count: usize,
        works: &'static [f64],
        shares: &'static [usize],
    }

    for test in [
        Test {
            count: 9,
            works: &[56.0, 96.0],
            shares: &[3, 6],
        },
        Test {
            count: 9,
            works: &[1.0],
            shares: &[9],
        },
        Test {
            count: 3,
            works: &[1.0, 100.0, 1.0],
            shares: &[1, 1, 1],
        },
        Test {
            count: 1,
            works: &[1.0, 2.0],
            shares: &[0, 1],
        },
        Test {
            count: 46,
            works: &[128.0, 264.0, 256.0],
            shares: &[9, 19, 18],
        },
    ] {
        let demands: Vec<Demand> = test.works.iter().map(|work| demand("m", *work)).collect();
        let assigned = assign(&demands, test.count);
        let shares: Vec<usize> = (0..test.works.len())
            .map(|model| {
                assigned
                    .iter()
                    .filter(|assigned| **assigned == model)
                    .count()
            })
            .collect();
        assert_eq!(shares, test.shares, "{:?}", test.works);
    }
}

/// Three trainers ask for about as many items each, but one model's texts are short.
/// When runners were assigned by items, the models with long texts got a third of the
/// runners each, and their steps fell behind while the first model's engines were idle.
/// One unusual step must move few runners only. If any trainer gives no estimates, all
/// demand counts by items.
#[test]
fn long_texts_get_more_runners() {
    struct Test {
        name: &'static str,
        /// Model, step, items and expected tokens.
        batches: &'static [(&'static str, u64, usize, u64)],
        shares: &'static [usize],
    }

    for test in [
        Test {
            name: "by tokens",
            batches: &[
                ("a", 1, 224, 100_000),
                ("b", 1, 248, 284_000),
                ("c", 1, 240, 275_000),
            ],
            shares: &[7, 19, 18],
        },
        Test {
            name: "without estimates",
            batches: &[("a", 1, 224, 0), ("b", 1, 248, 284_000), ("c", 1, 240, 0)],
            shares: &[14, 15, 15],
        },
        Test {
            name: "one unusual step among the newest four, and an older one that does not count",
            batches: &[
                ("a", 1, 10, 900_000),
                ("a", 2, 10, 100_000),
                ("a", 3, 10, 100_000),
                ("a", 4, 10, 130_000),
                ("a", 5, 10, 100_000),
                ("b", 5, 10, 300_000),
            ],
            shares: &[12, 32],
        },
        Test {
            name: "a model without batches has one runner",
            batches: &[("a", 1, 10, 50_000)],
            shares: &[43, 1],
        },
    ] {
        let mut models: Vec<(String, Vec<BatchDemand>)> = Vec::new();
        let names = ["a", "b", "c"];
        for name in &names[..test.shares.len()] {
            let same = test.batches.iter().filter(|batch| batch.0 == *name);
            let asked = same.map(|(_, step, items, tokens)| BatchDemand {
                items: *items,
                step: *step,
                tokens: *tokens,
            });
            models.push(((*name).to_owned(), asked.collect()));
        }
        let model_demands = demands(models);
        let assigned = assign(&model_demands, 44);
        let of = |name: &&str| {
            let model = model_demands
                .iter()
                .position(|demand| demand.model == *name);
            assigned
                .iter()
                .filter(|assigned| Some(**assigned) == model)
                .count()
        };
        let shares: Vec<usize> = names[..test.shares.len()].iter().map(of).collect();
        assert_eq!(shares, test.shares, "{}", test.name);
    }
}

proptest! {
    /// Every runner gets a model, whatever the demand, and repeating the assignment
    /// changes nothing. One more runner moves at most one of the others.
    #[test]
    fn assignments_are_complete_and_stable(
        works in proptest::collection::vec(10.0_f64..1_000.0, 1..5),
        count in 1_usize..60,
    ) {
        let demands: Vec<Demand> = works.iter().map(|work| demand("m", *work)).collect();
        let before = assign(&demands, count);
        prop_assert_eq!(before.len(), count);
        let keeps = |home: &usize| Member { home: Some(*home), ..NEW };
        let mut members: Vec<Member> = before.iter().map(keeps).collect();
        prop_assert_eq!(&assign_models(&demands, &members), &before);

        members.push(NEW);
        let after = assign_models(&demands, &members);
        prop_assert_eq!(after.len(), count + 1);
        let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
        prop_assert!(moved <= 1, "{moved} of {count} moved");
    }

    /// From any earlier home models, one assignment is enough: repeating it changes
    /// nothing, and no model is left without a runner while there are enough.
    #[test]
    fn assignments_settle(
        works in proptest::collection::vec(10.0_f64..1_000.0, 1..5),
        runners in proptest::collection::vec((proptest::option::of(0_usize..6), any::<bool>()), 1..40),
    ) {
        let demands: Vec<Demand> = works.iter().map(|work| demand("m", *work)).collect();
        let member = |(home, slower): &(Option<usize>, bool)| Member { home: *home, slower: *slower };
        let members: Vec<Member> = runners.iter().map(member).collect();
        let first = assign_models(&demands, &members);
        let again: Vec<Member> = members
            .iter()
            .zip(&first)
            .map(|(member, home)| Member { home: Some(*home), ..*member })
            .collect();
        prop_assert_eq!(&assign_models(&demands, &again), &first);
        let all = members.len() >= demands.len();
        let none = (0..demands.len()).any(|model| !first.contains(&model));
        prop_assert!(!all || !none, "a model without a runner: {first:?}");
    }
}

/// Three trainers share six usual engines and three of the slower kind. One trainer has
/// short texts, and its steps were early on usual engines, while the other two waited
/// for texts that took 9.5 s on slower ones. The models with the long texts must get
/// the usual engines.
#[test]
fn the_longest_texts_get_the_fastest_engines() {
    let batches = |items, tokens| {
        vec![BatchDemand {
            items,
            step: 1,
            tokens,
        }]
    };
    let models = vec![
        ("a".to_owned(), batches(60, 60 * 900)),
        ("b".to_owned(), batches(68, 68 * 1_480)),
        ("c".to_owned(), batches(72, 72 * 1_450)),
    ];
    let model_demands = demands(models);
    let names: Vec<&str> = model_demands
        .iter()
        .map(|demand| demand.model.as_str())
        .collect();
    assert_eq!(names, ["b", "c", "a"]);
    let new_member = |slower| Member { home: None, slower };
    let mut members = vec![new_member(false); 6];
    members.extend([new_member(true); 3]);
    let assigned = assign_models(&model_demands, &members);
    let usual = |model: usize| assigned[..6].iter().filter(|home| **home == model).count();
    assert_eq!([usual(0), usual(1), usual(2)], [3, 3, 0], "{assigned:?}");
    assert!(assigned[6..].iter().filter(|home| **home == 2).count() >= 2);
}

/// Demand changes by a tenth with each step, or an engine is lost. Runners were
/// reassigned each time, and an engine served three models within ten seconds. None may
/// move for the demand, and at most one for the lost engine.
#[test]
fn runners_keep_their_models() {
    let works = |a: f64, b: f64, c: f64| [demand("a", a), demand("b", b), demand("c", c)];
    let runners: Vec<Member> = assign(&works(54.0, 100.0, 104.0), 9)
        .into_iter()
        .map(|home| Member {
            home: Some(home),
            ..NEW
        })
        .collect();
    let before: Vec<usize> = runners.iter().filter_map(|member| member.home).collect();
    for (a, b, c) in [
        (60.0, 95.0, 100.0),
        (50.0, 110.0, 98.0),
        (54.0, 92.0, 112.0),
    ] {
        assert_eq!(assign_models(&works(a, b, c), &runners), before);
    }
    let mut fewer = runners;
    fewer.remove(4);
    let after = assign_models(&works(54.0, 100.0, 104.0), &fewer);
    let kept = fewer.iter().zip(&after);
    let moved = kept.filter(|(member, home)| member.home != Some(**home));
    assert!(moved.count() <= 1, "{after:?}");
}

/// Nine engines become idle at the same moment, and each could load the next weights.
/// Because of the turns, two at most begin before they see each other's loads. Every
/// engine gets a turn.
#[test]
fn idle_engines_load_by_turns() {
    for (count, most) in [(9, 1), (46, 4), (1, 1)] {
        for now in (0..6_000).step_by(75) {
            let turn = |rank: &usize| is_load_turn(Millis(now), Place { count, rank: *rank });
            assert!((0..count).filter(turn).count() <= most, "{count}");
        }
        let has_turn =
            |rank| (0..4_000).any(|now| is_load_turn(Millis(now), Place { count, rank }));
        assert!((0..count).all(has_turn), "{count}: an engine has no turn");
    }
}

/// An idle server in the caller's data centre.
fn candidate() -> Candidate {
    Candidate {
        connected: true,
        in_flight: 0,
        latency: 25.0,
        local: true,
        observed: Observed::default(),
        reported: None,
        slots: 6,
        tried: false,
        trusted: true,
    }
}

/// A call goes to the server that is expected to answer first.
#[test]
fn a_call_goes_where_it_is_answered_first() {
    struct Test {
        candidates: Vec<Candidate>,
        chosen: Option<usize>,
        name: &'static str,
    }

    for test in [
        Test {
            candidates: Vec::new(),
            chosen: None,
            name: "no server",
        },
        Test {
            candidates: vec![
                Candidate {
                    local: false,
                    ..candidate()
                },
                candidate(),
            ],
            chosen: Some(1),
            name: "the nearer of two equal servers",
        },
        Test {
            candidates: vec![
                Candidate {
                    connected: false,
                    ..candidate()
                },
                candidate(),
            ],
            chosen: Some(1),
            name: "the connected one of two equal servers",
        },
        Test {
            candidates: vec![
                Candidate {
                    reported: Some(9),
                    ..candidate()
                },
                Candidate {
                    local: false,
                    ..candidate()
                },
            ],
            chosen: Some(1),
            name: "a free server in another data centre before a full one",
        },
        Test {
            candidates: vec![
                Candidate {
                    latency: 100.0,
                    ..candidate()
                },
                Candidate {
                    in_flight: 3,
                    ..candidate()
                },
            ],
            chosen: Some(1),
            name: "a fast server with calls in flight before a slow one",
        },
        Test {
            candidates: vec![
                Candidate {
                    trusted: false,
                    ..candidate()
                },
                Candidate {
                    in_flight: 12,
                    ..candidate()
                },
            ],
            chosen: Some(1),
            name: "a busy server before one whose circuit breaker is open",
        },
        Test {
            candidates: vec![
                Candidate {
                    tried: true,
                    ..candidate()
                },
                Candidate {
                    trusted: false,
                    ..candidate()
                },
            ],
            chosen: Some(1),
            name: "any other server before one that this call was sent to",
        },
    ] {
        let chosen = server_choice::choose(&test.candidates, 0);
        assert_eq!(chosen, test.chosen, "{}", test.name);
    }
}

/// The latency estimates of a service's equal servers differ by chance by up to 25 ms.
/// A caller stays with the few servers that it is connected to, and leaves them if they
/// become slow. When a new connection counted as 4 ms, a caller opened one for every
/// second call.
#[test]
fn a_caller_stays_with_the_servers_that_it_knows() {
    let servers = |slow: f64| -> Vec<Candidate> {
        let latency = |index: u64| 50.0 + (index * 7 % 25) as f64;
        let of = |index: u64| Candidate {
            connected: index < 4,
            latency: if index < 4 {
                65.0 + slow
            } else {
                latency(index)
            },
            ..candidate()
        };
        (0..38).map(of).collect()
    };
    let opened = |slow: f64| {
        let candidates = servers(slow);
        let chosen = (0..200).filter_map(|spread| server_choice::choose(&candidates, spread));
        chosen
            .filter(|chosen| !candidates[*chosen].connected)
            .count()
    };
    assert_eq!(
        opened(0.0),
        0,
        "connections opened to servers that are not faster"
    );
    assert_eq!(opened(100.0), 200, "calls that left the slow servers");
}

/// Callers that see four equal servers don't all choose the same one.
#[test]
fn equal_servers_share_the_calls() {
    let candidates = vec![candidate(); 4];
    let mut counts = [0; 4];
    for spread in 0..400 {
        if let Some(chosen) = server_choice::choose(&candidates, spread) {
            counts[chosen] += 1;
        }
    }
    assert_eq!(counts, [100; 4]);
}

/// A call that is not answered is sent to a second server after a multiple of the
/// typical duration, and earlier if its deadline is near.
#[test]
fn a_second_server_is_asked_in_time() {
    for (typical, left, wait) in [(25.0, 1_500, 100), (80.0, 2_000, 210), (80.0, 300, 100)] {
        assert_eq!(hedge_delay(typical, Millis(left)), Millis(wait));
    }
}

/// An unfinished batch is given up when it is too old. The results of a complete one were removed
/// with those of ended ones, although its trainer may still read them.
#[test]
fn batches_are_removed_after_their_end() {
    struct Test {
        age: u64,
        newer: usize,
        state: BatchState,
        action: Action,
    }

    let test = |age, state, newer, action| Test {
        age,
        newer,
        state,
        action,
    };

    for test in [
        test(10_000, BatchState::Unfinished, 0, Action::Keep),
        test(41_000, BatchState::Unfinished, 0, Action::GiveUp),
        test(181_000, BatchState::Unfinished, 1_000, Action::GiveUp),
        test(41_000, BatchState::Complete, 0, Action::Keep),
        test(181_000, BatchState::Complete, 0, Action::Keep),
        test(181_000, BatchState::Complete, 499, Action::Keep),
        test(181_000, BatchState::Complete, 500, Action::Remove),
        test(41_000, BatchState::Complete, 500, Action::Keep),
        test(41_000, BatchState::Ended, 500, Action::Keep),
        test(181_000, BatchState::Ended, 0, Action::Remove),
    ] {
        let batch = BatchAge {
            age: Millis(test.age),
            newer: test.newer,
            retention: Millis(120_000),
            state: test.state,
            ttl: Millis(40_000),
        };
        let (age, state, newer) = (test.age, test.state, test.newer);
        assert_eq!(decide(batch), test.action, "{age} {state:?} {newer}");
    }
}

/// A step's bundles are offered to two usual engines and one of the slower kind, with
/// 16 slots each. When the slower engine ran the longest texts, they took 9.5 s instead
/// of 7.5 s. The usual engines must take the longest texts that they have room for. The
/// slower one waits a moment and then takes the shortest of the rest.
#[test]
fn long_texts_run_at_the_faster_engines() {
    let slower = Runner {
        slower: true,
        yields: true,
        ..usual_runner(ONLY_RUNNER, 16)
    };
    let mut offers: Vec<Offer> = (0..15).map(offer).collect();
    assert!(
        choose(&offers, slower).is_none(),
        "a slower engine took a new bundle"
    );
    for rank in 0..2 {
        let mut room = 16;
        let place = Place { count: 2, rank };
        while let Some(chosen) = choose(&offers, usual_runner(place, room)).copied() {
            assert!(chosen.order < 8, "{}", chosen.order);
            offers.retain(|other| other.bundle != chosen.bundle);
            room -= chosen.remaining;
        }
    }
    for offer in &mut offers {
        offer.age = Millis(250);
    }
    assert_eq!(choose(&offers, slower).map(|offer| offer.order), Some(14));
}

/// A runner with a faster engine joins a bundle whose holder's engine is of the slower
/// kind, after some time. A runner whose engine is as slow does not.
#[test]
fn a_slower_engines_long_texts_are_joined() {
    struct Test {
        name: &'static str,
        since: u64,
        slower: bool,
        joins: bool,
    }

    for test in [
        Test {
            name: "a faster runner, once the short texts are complete",
            since: 1_600,
            slower: false,
            joins: true,
        },
        Test {
            name: "a faster runner, too soon",
            since: 1_000,
            slower: false,
            joins: false,
        },
        Test {
            name: "a runner with a slower engine too",
            since: 1_600,
            slower: true,
            joins: false,
        },
    ] {
        let holder = Holder::Held {
            joinable: true,
            pace: 1.3,
            second_run: None,
            since: Millis(test.since),
            slower: true,
        };
        let offers = [Offer { holder, ..offer(0) }];
        let runner = Runner {
            slower: test.slower,
            yields: test.slower,
            ..usual_runner(ONLY_RUNNER, 16)
        };
        assert_eq!(
            choose(&offers, runner).is_some(),
            test.joins,
            "{}",
            test.name
        );
    }
}

/// An engine's pace is measured by the gaps between the events of its runs. It is known
/// within a second, not changed by a single long pause, and follows within three
/// seconds when the engine becomes slow.
#[test]
fn an_engines_pace_is_known_from_running_streams() {
    let mut pace = Pace::default();
    let mut pace_after = |from: u64, gap: f64, count: u32| {
        (0..count).for_each(|_| pace.record(gap));
        pace.update(Millis(from))
    };
    assert!((pace_after(500, 40.0, 50) - 40.0).abs() < 0.1);
    assert!(
        (pace_after(1_000, 40.0, 4) - 40.0).abs() < 0.1,
        "a window with too few gaps counts"
    );
    let mut known = 0.0;
    for window in 3..9 {
        known = pace_after(window * 500, 160.0, 50);
    }
    assert!(is_straggler(known, 40.0), "{known}");

    let mut pace = Pace::default();
    (0..50).for_each(|_| pace.record(40.0));
    pace.update(Millis(500));
    (0..50).for_each(|_| pace.record(40.0));
    (0..3).for_each(|_| pace.record(900.0));
    let known = pace.update(Millis(1_000));
    assert!(
        !is_slower(known, 40.0, false),
        "{known} after a pause for loading weights"
    );
}

/// An engine counts as slower from one threshold on and as usual again below a lower
/// one. The usual pace is that of the faster engines.
#[test]
fn engines_of_a_slower_kind_are_known() {
    for (pace, known, before, slower) in [
        (0.0, 40.0, false, false),
        (40.0, 0.0, false, false),
        (44.0, 40.0, false, false),
        (47.0, 40.0, false, true),
        (44.0, 40.0, true, true),
        (42.0, 40.0, true, false),
    ] {
        assert_eq!(is_slower(pace, known, before), slower, "{pace} of {known}");
    }
    let mixed = vec![50.0, 0.0, 40.0, 51.0, 41.0, 52.0, 40.0, 50.0];
    assert!((usual_pace(mixed) - 40.0).abs() < 1.1);
    assert!(usual_pace(Vec::new()).abs() < 0.1);
}

/// The store loses a third of its answers, then takes sixty times as long for each,
/// then works normally again. A lost answer must be asked for again within 0.3 s, where
/// a fixed timeout took 1.5 s. A slow answer must be waited for after the first ones
/// that timed out.
#[test]
fn lost_answers_are_distinguished_from_slow_ones() {
    let mut adaptive = AdaptiveTimeout::default();
    for call in 0..100 {
        adaptive.record(Millis(call * 20), Millis(9));
    }
    let mut now = Millis(2_000);
    for _ in 0..10 {
        let wait = adaptive.timeout(now);
        assert!(wait <= Millis(300), "waited {wait} for a lost answer");
        now = now + wait;
        adaptive.record_timeout();
        for _ in 0..2 {
            now = now + Millis(100);
            adaptive.record(now, Millis(9));
        }
    }

    let mut timed_out = 0;
    for _ in 0..20 {
        let wait = adaptive.timeout(now);
        now = now + Millis(wait.0.min(540));
        if wait < Millis(540) {
            timed_out += 1;
            adaptive.record_timeout();
        } else {
            adaptive.record(now, Millis(540));
        }
    }
    assert!(timed_out <= 2, "{timed_out} of 20 slow answers timed out");
    assert!(adaptive.timeout(now + Millis(20_000)) <= Millis(300));
}

/// A claim's holder by its last heartbeat, and whether it still works.
struct HolderCase {
    name: &'static str,
    heartbeat: Option<LastHeartbeat>,
    now: u64,
    working: bool,
}

/// A claim was seen at 1,000 ms at revision 50, written by the holder's incarnation
/// with token 20. Whether other runners take its bundle over depends on what the holder
/// wrote last.
#[test]
fn a_claims_holder_is_known_to_work() {
    let claim = ClaimWrite {
        at: Millis(1_000),
        revision: 50,
        token: 20,
    };
    let heartbeat = |at: u64, revision: u64, token: u64, working: bool| {
        Some(LastHeartbeat {
            at: Millis(at),
            revision,
            token,
            working,
        })
    };
    let cases = [
        HolderCase {
            name: "no heartbeat yet",
            heartbeat: None,
            now: 1_100,
            working: true,
        },
        HolderCase {
            name: "no heartbeat for 2.3 s",
            heartbeat: None,
            now: 3_300,
            working: false,
        },
        HolderCase {
            name: "only the heartbeat of its start, older than the claim",
            heartbeat: heartbeat(900, 20, 20, false),
            now: 1_100,
            working: true,
        },
        HolderCase {
            name: "only the heartbeat of its start, and silence since the claim",
            heartbeat: heartbeat(900, 20, 20, false),
            now: 3_300,
            working: false,
        },
        HolderCase {
            name: "a newer heartbeat says that it does not work",
            heartbeat: heartbeat(1_050, 51, 20, false),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "its heartbeats continue",
            heartbeat: heartbeat(9_000, 90, 20, true),
            now: 9_500,
            working: true,
        },
        HolderCase {
            name: "its heartbeats have stopped",
            heartbeat: heartbeat(9_000, 90, 20, true),
            now: 11_400,
            working: false,
        },
        HolderCase {
            name: "a heartbeat of its next incarnation",
            heartbeat: heartbeat(1_050, 51, 51, true),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "a late claim of the previous incarnation",
            heartbeat: heartbeat(900, 40, 40, true),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "the heartbeat of the previous incarnation",
            heartbeat: heartbeat(900, 15, 10, true),
            now: 1_100,
            working: true,
        },
        HolderCase {
            name: "heartbeat times are reset after an outage",
            heartbeat: heartbeat(8_000, 20, 20, false),
            now: 8_100,
            working: true,
        },
    ];
    for case in cases {
        let found = is_working(claim, case.heartbeat, Millis(case.now));
        assert_eq!(found, case.working, "{}", case.name);
    }
}

/// The open steps of one model, and the expected mode of each.
struct ModeCase {
    name: &'static str,
    /// When each step is due, in s, and its waiting work in s of one slot.
    steps: Vec<(u64, u64)>,
    slots: u32,
    modes: Vec<StepMode>,
}

/// It is second 10, and a slot takes 1 ms per token. A step that can be complete in
/// time starts with its longest texts. One that can't is run group by group. One that
/// is late gives way.
#[test]
fn a_steps_mode_depends_on_what_can_be_in_time() {
    use StepMode::{ByGroup, Late, Whole};
    for test in [
        ModeCase {
            name: "enough engines",
            steps: vec![(17, 150)],
            slots: 90,
            modes: vec![Whole],
        },
        ModeCase {
            name: "only a third of the engines is left",
            steps: vec![(17, 190)],
            slots: 30,
            modes: vec![ByGroup],
        },
        ModeCase {
            name: "the earlier step uses up the engines first",
            steps: vec![(14, 60), (17, 130)],
            slots: 30,
            modes: vec![Whole, ByGroup],
        },
        ModeCase {
            name: "a late step gives way to the next",
            steps: vec![(10, 90), (17, 120)],
            slots: 30,
            modes: vec![Late, Whole],
        },
    ] {
        let steps: Vec<OpenStep> = test
            .steps
            .iter()
            .map(|(due, work)| OpenStep {
                surplus: 0,
                due: Millis(due * 1_000),
                needed: work * 1_000,
            })
            .collect();
        let supply = Supply {
            slots: test.slots,
            token_ms: 1.0,
        };
        let found = step_modes(&steps, supply, Millis(10_000));
        assert_eq!(found, test.modes, "{}", test.name);
        let unknown = Supply {
            token_ms: 0.0,
            ..supply
        };
        assert!(!step_modes(&steps, unknown, Millis(10_000)).contains(&ByGroup));
    }
}

/// Two runners get a free slot each while a step is run group by group. They take the
/// next bundles in the order of the groups, each a different one. Late steps come after
/// steps that may be in time, and surplus groups, which no trainer waits for, come
/// last.
#[test]
fn a_late_steps_groups_are_taken_one_after_another() {
    let by_group = |position: u16| Offer {
        mode: StepMode::ByGroup,
        // The longest texts are in the last groups.
        order: 100 - position,
        position: usize::from(position),
        ..offer(position)
    };
    let late = Offer {
        due: Millis(3_000),
        mode: StepMode::Late,
        position: 4,
        ..offer(4)
    };
    let surplus = Offer {
        surplus: true,
        due: Millis(3_000),
        ..offer(5)
    };
    let offers = [
        surplus,
        late,
        by_group(3),
        by_group(2),
        by_group(1),
        by_group(0),
    ];
    let taken = |offers: &[Offer], rank: usize| {
        let place = Place { count: 2, rank };
        choose(offers, usual_runner(place, 1)).map(|offer| offer.bundle)
    };
    assert_eq!(taken(&offers, 0), Some(0));
    assert_eq!(taken(&offers, 1), Some(1));
    assert_eq!(taken(&offers[..2], 0), Some(4));
    assert_eq!(taken(&offers[..1], 0), Some(5));
}

/// The time of a slot per expected token is learned from runs whose estimates are off
/// by half. Without estimates, an item counts as one token.
#[test]
fn a_slots_rate_is_learned_from_its_runs() {
    let mut rate = Rate::default();
    assert!(rate.token_ms() <= 0.0, "known without any run");
    for run in 0..200 {
        let expected = if run % 2 == 0 { 300 } else { 900 };
        rate.record(expected, 480.0);
    }
    assert!(
        (0.75..0.85).contains(&rate.token_ms()),
        "{}",
        rate.token_ms()
    );
    let mut unestimated = Rate::default();
    unestimated.record(0, 700.0);
    assert!((699.0..701.0).contains(&unestimated.token_ms()));
}

/// Surplus groups, which no trainer waits for, go together with the others while the
/// engines have capacity for all of them, and last otherwise.
#[test]
fn surplus_groups_go_last_when_engines_are_scarce() {
    struct Test {
        surplus: u64,
        slots: u32,
        ample: bool,
    }

    for test in [
        Test {
            surplus: 10,
            slots: 80,
            ample: true,
        },
        Test {
            surplus: 200,
            slots: 80,
            ample: false,
        },
        Test {
            surplus: 10,
            slots: 30,
            ample: false,
        },
    ] {
        let step = OpenStep {
            surplus: test.surplus * 1_000,
            due: Millis(7_500),
            needed: 150_000,
        };
        let supply = Supply {
            slots: test.slots,
            token_ms: 1.0,
        };
        let ample = is_ample(&[step], supply, Millis(0));
        assert_eq!(ample, test.ample, "{} {}", test.surplus, test.slots);
    }
}
