//! The pure decisions of gateways and runners, as tables of cases and as
//! replays of the load they answer.

use proptest::prelude::*;
use redwingpond::{
    base::Millis,
    policy::{
        batch_age::{Action, BatchAge, decide},
        claim_choice::{Holder, Offer, Place, Runner, choose, is_assigned, usable_slots},
        engine_life::{Mismatch, current, is_caught_up},
        liveness::{ClaimWrite, LastHeartbeat, is_working},
        model_share::{BatchDemand, Demand, Member, assign_models, demands},
        pace::{Pace, is_slower, is_straggler, usual_pace},
        patience::AdaptiveTimeout,
        server_choice::{self, Candidate, hedge_delay},
        step_order::{OpenStep, Rate, StepMode, Supply, is_ample, step_modes},
        version_plan::{self, LoadDecision, Situation, is_load_turn}, //
    },
};

const ONLY_RUNNER: Place = Place { count: 1, rank: 0 };

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
        remaining: 4,
        position: usize::from(bundle),
        loaded: true,
        order: bundle,
        mode: StepMode::Whole,
        work: 0,
    }
}

fn held(pace: f64, since: u64) -> Holder {
    Holder::Held {
        joinable: true,
        pace,
        since: Millis(since),
        slower: false,
    }
}

fn usual_runner(place: Place, room: u32) -> Runner {
    Runner {
        place,
        room,
        slower: false,
        yields: false,
    }
}

/// Offers to a runner, and the bundle that it takes.
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

/// Which of the bundles that nobody runs a runner takes.
#[test]
fn a_runner_takes_the_best_unheld_bundle() {
    let foreign = Offer {
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
            name: "each runner its own of a new batch",
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
            name: "nothing its engine is too old for",
            offers: vec![Offer {
                loaded: false,
                ..offer(0)
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: None,
        },
        Choice {
            name: "another model's bundle only after a while",
            offers: vec![foreign],
            place: ONLY_RUNNER,
            room: 12,
            takes: None,
        },
        Choice {
            name: "another model's bundle that nobody took",
            offers: vec![Offer {
                age: Millis(500),
                ..foreign
            }],
            place: ONLY_RUNNER,
            room: 12,
            takes: Some(1),
        },
    ] {
        test.run();
    }
}

/// Which of the bundles that another runner holds a runner joins.
#[test]
fn a_runner_joins_only_slow_holders() {
    for test in [
        Choice {
            name: "no holder of the usual pace is joined",
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
            name: "an unclaimed bundle before a slow holder's",
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
            name: "a slow holder's bundle only whole",
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

/// A step of 24 bundles arrives at five runners at the same moment. Each takes
/// three before it sees what the others took: no two take the same, so no
/// claim is lost.
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

/// While no claim can be written, each bundle has exactly one runner.
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

/// The store goes away as it answers a claim. The runner that made it hears of it
/// from the feed only; all others know whose the bundle is, and the rule gives it
/// to another: the holder runs it.
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

/// An engine that takes four times as long as usual gets a quarter of its
/// slots; an unknown or a merely full one gets all.
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

/// A situation of an engine, and whether it takes new weights.
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

/// A load that nothing waits for gives way to the loads of models that have fewer
/// engines ready, and to those whose turn it is.
#[test]
fn loads_without_waiting_work_give_way() {
    for test in [
        LoadCase {
            name: "half are ready, and another model's engine loads",
            situation: Situation {
                loading: 1,
                ready: 3,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "half are ready, and nobody loads",
            situation: Situation {
                ready: 3,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "too few are ready, and another loads",
            situation: Situation {
                loading: 1,
                ready: 2,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "another's turn",
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

/// When an engine takes weights that no work needs yet.
#[test]
fn engines_load_weights_early_while_idle() {
    for test in [
        LoadCase {
            name: "the newest is held",
            situation: Situation {
                held: 5,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "nothing waits",
            situation: IDLE_ENGINE,
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "work waits that the held version serves",
            situation: Situation {
                waiting: true,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "the step may be on its way",
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
            name: "two load already",
            situation: Situation {
                loading: 2,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "nine of 46 may load at once",
            situation: Situation {
                loading: 8,
                models: 3,
                runners: 46,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "nine of 46 load already",
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

/// One bundle of a model waits for a slot, and other models' engines are idle.
/// All of them loaded its weights at the same moment, three seconds after its
/// batch came, and were away from their own models' next steps for two seconds.
/// Now they follow one another, and those with an earlier place leave the later
/// ones nothing to do.
#[test]
fn other_models_engines_load_one_after_another() {
    let helpers = |waited: u64| {
        let helps = |rank: &usize| {
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
        (0..18).filter(helps).count()
    };
    let counts = [2_900, 3_000, 3_400, 4_600].map(helpers);
    assert_eq!(counts, [0, 1, 2, 5]);
}

/// A trainer that fell behind asks for two steps within two seconds. Half of its
/// engines take the version of the first before they work on it, so that the
/// second finds them ready; the other half works on the first meanwhile.
#[test]
fn half_of_the_engines_load_early_for_a_near_step() {
    let loads = |named: u64, next_near: bool| -> Vec<usize> {
        let takes = |rank: &usize| {
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
        (0..6).filter(takes).collect()
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
        "nobody else would work"
    );
}

/// An engine's life as the store announces it, and as a refusal told it.
#[test]
fn an_engines_current_incarnation_is_known() {
    struct Test {
        name: &'static str,
        announced: Option<&'static str>,
        mismatch: bool,
        confirmed: bool,
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
            name: "only announced",
            mismatch: false,
            current_id: Some("a"),
            ..base
        },
        Test {
            name: "the life before is still announced",
            ..base
        },
        Test {
            name: "the life before lapsed",
            announced: None,
            ..base
        },
        Test {
            name: "a server of another service may have the address",
            confirmed: false,
            current_id: Some("a"),
            ..base
        },
        Test {
            name: "the store has caught up",
            announced: Some("b"),
            ..base
        },
        Test {
            name: "a third life is announced",
            announced: Some("c"),
            current_id: Some("c"),
            ..base
        },
    ] {
        let mismatch = test.mismatch.then_some(&mismatch);
        let found = current(test.announced, mismatch, test.confirmed);
        assert_eq!(found, test.current_id, "{}", test.name);
    }
    assert!(!is_caught_up(None, &mismatch) && !is_caught_up(Some("a"), &mismatch));
    assert!(is_caught_up(Some("b"), &mismatch) && is_caught_up(Some("c"), &mismatch));
}

/// The store is away, and no heartbeat tells who loads: idle engines take the
/// named weights in waves by their place, so that the next step finds them.
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
            name: "a moment without the store",
            situation: in_outage(200, 0),
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "the first wave, whatever old heartbeats say",
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
            name: "a version that the returning store has told",
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

/// When an engine takes weights that work at hand needs.
#[test]
fn needed_weights_are_loaded_soon() {
    for test in [
        LoadCase {
            name: "too old for the work at hand",
            situation: Situation {
                named_for: Millis(0),
                needed: 5,
                waiting: true,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Load(5),
        },
        LoadCase {
            name: "too old, but two load already",
            situation: Situation {
                loading: 2,
                named_for: Millis(900),
                needed: 5,
                ..IDLE_ENGINE
            },
            decision: LoadDecision::Wait,
        },
        LoadCase {
            name: "too old, and who loads may be gone",
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

/// Deals `count` runners out that have no model yet.
fn assign(demands: &[Demand], count: usize) -> Vec<usize> {
    assign_models(demands, &vec![NEW; count])
}

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

/// Three trainers ask for as many items each, but one model's texts are short.
/// Dealt by items, the models with long texts got a third of the runners each,
/// and their steps fell behind while the first model's engines were idle. One
/// odd step moves few runners, and a trainer without estimates makes all count
/// by items.
#[test]
fn long_texts_get_more_runners() {
    struct Test {
        name: &'static str,
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
            name: "one odd step among four, an old one forgotten",
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
            name: "a model without batches keeps one",
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
    /// Every runner has a model, whatever is asked for. One runner more moves at
    /// most one of the others, and demands that change by a twentieth move none.
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

    /// However runners stand, the models' shares are right within a runner or so
    /// after a few turns, and then nobody moves.
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

/// Three trainers share six usual engines and three of the slower kind. One has
/// short texts, and its steps had time to spare at usual engines, while the other
/// two waited for texts of 9.5 s at slower ones: these get the usual engines.
#[test]
fn the_longest_texts_get_the_fastest_engines() {
    let asked = |items, tokens| {
        vec![BatchDemand {
            items,
            step: 1,
            tokens,
        }]
    };
    let models = vec![
        ("a".to_owned(), asked(60, 60 * 900)),
        ("b".to_owned(), asked(68, 68 * 1_480)),
        ("c".to_owned(), asked(72, 72 * 1_450)),
    ];
    let model_demands = demands(models);
    let names: Vec<&str> = model_demands
        .iter()
        .map(|demand| demand.model.as_str())
        .collect();
    assert_eq!(names, ["b", "c", "a"]);
    let new = |slower| Member { home: None, slower };
    let mut members = vec![new(false); 6];
    members.extend([new(true); 3]);
    let assigned = assign_models(&model_demands, &members);
    let usual = |model: usize| assigned[..6].iter().filter(|home| **home == model).count();
    assert_eq!([usual(0), usual(1), usual(2)], [3, 3, 0], "{assigned:?}");
    assert!(assigned[6..].iter().filter(|home| **home == 2).count() >= 2);
}

/// A trainer's steps ask for a tenth more or less each time, an engine is lost,
/// another is slow for a moment. Runners were dealt out anew each time, and an
/// engine served three models in ten seconds: now at most one moves.
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

/// Nine engines become idle at the same moment and could all take the next
/// weights: by turns, two at most begin before they see each other's loads.
#[test]
fn idle_engines_load_by_turns() {
    for (count, most) in [(9, 1), (46, 4), (1, 1)] {
        for now in (0..6_000).step_by(75) {
            let turn = |rank: &usize| is_load_turn(Millis(now), Place { count, rank: *rank });
            assert!((0..count).filter(turn).count() <= most, "{count}");
        }
        let each = |rank| (0..4_000).any(|now| is_load_turn(Millis(now), Place { count, rank }));
        assert!((0..count).all(each), "{count}: someone has no turn");
    }
}

fn candidate() -> Candidate {
    Candidate {
        connected: true,
        in_flight: 0,
        latency: 25.0,
        local: true,
        reported: None,
        slots: 6,
        tried: false,
        trusted: true,
    }
}

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
            name: "nowhere",
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
            name: "the nearer of two alike",
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
            name: "one that is connected of two alike",
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
            name: "a free one further away before a full one",
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
            name: "a fast one with work before a slow one",
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
            name: "a busy one before one that failed",
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
            name: "any other before one that was tried",
        },
    ] {
        let chosen = server_choice::choose(&test.candidates, 0);
        assert_eq!(chosen, test.chosen, "{}", test.name);
    }
}

/// Callers that see four equal servers don't all choose the same one.
/// The estimates of a service's equal servers differ by chance by up to 25 ms: a
/// caller stays with the few servers that it is connected to. At 4 ms for a
/// connection it opened one for every second call. A server that has become
/// slow is left all the same.
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
        "connections opened to servers that are no faster"
    );
    assert_eq!(opened(100.0), 200, "calls that left the slow servers");
}

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

#[test]
fn a_second_server_is_asked_in_time() {
    for (typical, left, wait) in [(25.0, 1_500, 100), (80.0, 2_000, 210), (80.0, 300, 100)] {
        assert_eq!(hedge_delay(typical, Millis(left)), Millis(wait));
    }
}

/// A batch is given up before it is removed, and never removed while it is open.
#[test]
fn batches_are_given_up_before_they_are_removed() {
    struct Test {
        age: u64,
        over: bool,
        action: Action,
    }

    for test in [
        Test {
            age: 10_000,
            over: false,
            action: Action::Keep,
        },
        Test {
            age: 41_000,
            over: false,
            action: Action::GiveUp,
        },
        Test {
            age: 41_000,
            over: true,
            action: Action::Keep,
        },
        Test {
            age: 181_000,
            over: true,
            action: Action::Remove,
        },
        Test {
            age: 181_000,
            over: false,
            action: Action::GiveUp,
        },
    ] {
        let batch = BatchAge {
            age: Millis(test.age),
            over: test.over,
            retention: Millis(120_000),
            ttl: Millis(40_000),
        };
        assert_eq!(decide(batch), test.action, "{} {}", test.age, test.over);
    }
}

/// A step's bundles, longest first, before two usual engines and one of the
/// slower kind with 16 slots each. Its longest texts ran at the slower engine,
/// 9.5 s instead of 7.5 s: now the usual ones take what they have room for, and
/// the slower one takes the shortest of the rest, a moment later.
#[test]
fn long_texts_run_at_the_faster_engines() {
    let slower = Runner {
        slower: true,
        yields: true,
        ..usual_runner(ONLY_RUNNER, 16)
    };
    let mut offers: Vec<Offer> = (0..15).map(offer).collect();
    assert!(choose(&offers, slower).is_none(), "a new bundle");
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

/// Which runner joins a bundle whose holder's engine is of the slower kind.
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
            name: "a faster runner, once the short texts are whole",
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
            name: "a runner as slow",
            since: 1_600,
            slower: true,
            joins: false,
        },
    ] {
        let holder = Holder::Held {
            joinable: true,
            pace: 1.3,
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

/// An engine's pace by the gaps of its runs: known within a second, undisturbed
/// by one long pause, and followed within three when the engine turns slow.
#[test]
fn an_engines_pace_is_known_from_running_streams() {
    let mut pace = Pace::default();
    let mut play = |from: u64, gap: f64, count: u32| {
        (0..count).for_each(|_| pace.note(gap));
        pace.update(Millis(from))
    };
    assert!((play(500, 40.0, 50) - 40.0).abs() < 0.1);
    assert!((play(1_000, 40.0, 4) - 40.0).abs() < 0.1, "too few gaps");
    let mut known = 0.0;
    for window in 3..9 {
        known = play(window * 500, 160.0, 50);
    }
    assert!(is_straggler(known, 40.0), "{known}");

    let mut pace = Pace::default();
    (0..50).for_each(|_| pace.note(40.0));
    pace.update(Millis(500));
    (0..50).for_each(|_| pace.note(40.0));
    (0..3).for_each(|_| pace.note(900.0));
    let known = pace.update(Millis(1_000));
    assert!(
        !is_slower(known, 40.0, false),
        "{known} after a load of weights"
    );
}

/// What counts as slower, with a margin between the ways there and back.
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

/// The store loses a third of its answers, then takes sixty times as long, then is
/// as ever. A lost answer is asked for again within 0.3 s instead of 1.5 s; a slow
/// one is waited for after the first that was given up too soon.
#[test]
fn lost_answers_are_distinguished_from_slow_ones() {
    let mut adaptive = AdaptiveTimeout::default();
    for call in 0..100 {
        adaptive.note(Millis(call * 20), Millis(9));
    }
    let mut now = Millis(2_000);
    for _ in 0..10 {
        let wait = adaptive.timeout(now);
        assert!(wait <= Millis(300), "{wait} for a lost answer");
        now = now + wait;
        adaptive.note_timeout();
        for _ in 0..2 {
            now = now + Millis(100);
            adaptive.note(now, Millis(9));
        }
    }

    let mut given_up = 0;
    for _ in 0..20 {
        let wait = adaptive.timeout(now);
        now = now + Millis(wait.0.min(540));
        if wait < Millis(540) {
            given_up += 1;
            adaptive.note_timeout();
        } else {
            adaptive.note(now, Millis(540));
        }
    }
    assert!(given_up <= 2, "{given_up} of 20 slow answers given up");
    assert!(adaptive.timeout(now + Millis(20_000)) <= Millis(300));
}

/// A claim, its holder's last heartbeat, and whether the holder still works.
struct HolderCase {
    name: &'static str,
    heartbeat: Option<LastHeartbeat>,
    now: u64,
    working: bool,
}

/// A claim is there, seen at 1,000 ms at revision 50, by life 20 of its holder. Whether
/// others take its bundle over is decided by what the holder wrote last.
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
            name: "no heartbeat for long",
            heartbeat: None,
            now: 3_300,
            working: false,
        },
        HolderCase {
            name: "the heartbeat of its start",
            heartbeat: heartbeat(900, 20, 20, false),
            now: 1_100,
            working: true,
        },
        HolderCase {
            name: "the heartbeat of its start, and silence since",
            heartbeat: heartbeat(900, 20, 20, false),
            now: 3_300,
            working: false,
        },
        HolderCase {
            name: "its engine has failed since",
            heartbeat: heartbeat(1_050, 51, 20, false),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "heartbeats go on",
            heartbeat: heartbeat(9_000, 90, 20, true),
            now: 9_500,
            working: true,
        },
        HolderCase {
            name: "heartbeats have ended",
            heartbeat: heartbeat(9_000, 90, 20, true),
            now: 11_400,
            working: false,
        },
        HolderCase {
            name: "its next life",
            heartbeat: heartbeat(1_050, 51, 51, true),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "a late claim of the life before",
            heartbeat: heartbeat(900, 40, 40, true),
            now: 1_100,
            working: false,
        },
        HolderCase {
            name: "the heartbeat of the life before",
            heartbeat: heartbeat(900, 15, 10, true),
            now: 1_100,
            working: true,
        },
        HolderCase {
            name: "an outage has hidden all heartbeats",
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

/// Steps of one model, and the mode of each.
struct ModeCase {
    name: &'static str,
    /// When each step is due and its waiting work, in s of one slot.
    steps: Vec<(u64, u64)>,
    slots: u32,
    modes: Vec<StepMode>,
}

/// It is second 10, and a slot takes 1 ms for a token. A step that can be whole in
/// time begins with its longest texts; one that can't is worked off by groups; what
/// is late makes way.
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
            name: "a third of them is left",
            steps: vec![(17, 190)],
            slots: 30,
            modes: vec![ByGroup],
        },
        ModeCase {
            name: "the step before takes its time first",
            steps: vec![(14, 60), (17, 130)],
            slots: 30,
            modes: vec![Whole, ByGroup],
        },
        ModeCase {
            name: "a late step waits for the others",
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

/// Two runners free a slot each while a step is worked off by groups. They take the
/// next bundles in line, each its own; what its trainer waits for goes before the
/// groups beyond, and late steps before those but after all else.
#[test]
fn a_late_steps_groups_are_taken_one_after_another() {
    let by_group = |line: u16| Offer {
        mode: StepMode::ByGroup,
        // The longest texts stand at the end of the line.
        order: 100 - line,
        position: usize::from(line),
        ..offer(line)
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

/// What a slot takes for an expected token, by runs whose estimates are off by half.
#[test]
fn a_slots_rate_is_learned_from_its_runs() {
    let mut rate = Rate::default();
    assert!(rate.token_ms() <= 0.0, "unknown at first");
    for run in 0..200 {
        let expected = if run % 2 == 0 { 300 } else { 900 };
        rate.note(expected, 480.0);
    }
    assert!(
        (0.75..0.85).contains(&rate.token_ms()),
        "{}",
        rate.token_ms()
    );
    let mut unestimated = Rate::default();
    unestimated.note(0, 700.0);
    assert!((699.0..701.0).contains(&unestimated.token_ms()));
}

/// The groups beyond what trainers wait for go with the others while there is room for
/// all, and last once there is not.
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
