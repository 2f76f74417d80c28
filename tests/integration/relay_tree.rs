//! Who feeds whom, replayed with all instances of a fleet that start, end and come back.

use redwingpond::{
    base::Millis,
    policy::relay::{Children, MAX_CHILDREN, Parents, ROOTS, first_slot, is_stale}, //
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr, //
};

/// The calls for changes that an instance makes by itself each second: four tables, one
/// of which changes all the time.
const CALLS_PER_INSTANCE: usize = 24;

/// The reading calls a second that a store takes from all together.
const MAX_STORE_READS: usize = 2_000;

/// The instances of one program in one data centre.
#[derive(Default)]
struct Group {
    /// What each feeds, by its address.
    children: BTreeMap<SocketAddr, Children>,
    candidates: BTreeMap<SocketAddr, Parents>,
    parents: BTreeMap<SocketAddr, SocketAddr>,
    slots: [Option<SocketAddr>; ROOTS],
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number / 250) as u8, (number % 250) as u8], 7660))
}

impl Group {
    fn start(&mut self, number: usize) {
        let address = address(number);
        self.children.insert(address, Children::default());
        self.candidates.insert(address, Parents::default());
    }

    fn end(&mut self, address: SocketAddr) {
        self.children.remove(&address);
        self.candidates.remove(&address);
        self.parents.remove(&address);
        self.parents.retain(|_, parent| *parent != address);
    }

    fn is_root(&self, address: SocketAddr) -> bool {
        self.slots.contains(&Some(address))
    }

    /// The instances that nobody feeds, roots left out.
    fn orphans(&self) -> Vec<SocketAddr> {
        let all = self.children.keys().copied();
        all.filter(|of| !self.is_root(*of) && !self.parents.contains_key(of))
            .collect()
    }

    /// Has each that is fed ask, and each that nobody feeds look once for a feeder.
    fn find_parents(&mut self, now: Millis) {
        for (address, parent) in &self.parents {
            if let Some(children) = self.children.get_mut(parent) {
                assert!(children.admit(&address.to_string(), *address, now));
            }
        }
        for address in self.orphans() {
            if self.slots.contains(&None) {
                self.take_slot(address, now);
                continue;
            }
            let roots: Vec<SocketAddr> = self.slots.iter().flatten().copied().collect();
            let candidates = self.candidates.get_mut(&address).unwrap();
            let order = candidates.order(&address.to_string(), &roots, now);
            let parent = order
                .into_iter()
                .find_map(|root| self.join(address, root, now, 6));
            match parent {
                Some(parent) => {
                    self.parents.insert(address, parent);
                }
                None => self.take_slot(address, now),
            }
        }
    }

    fn join(
        &mut self,
        address: SocketAddr,
        parent: SocketAddr,
        now: Millis,
        depth: usize,
    ) -> Option<SocketAddr> {
        let candidates = self.candidates.get_mut(&address)?;
        let Some(children) = self.children.get_mut(&parent) else {
            candidates.note_unreachable(parent, now);
            return None;
        };
        candidates.note_reachable(parent);
        if children.admit(&address.to_string(), address, now) {
            return Some(parent);
        }
        let below = candidates.order(&address.to_string(), &children.addresses(), now);
        let next = *below.iter().find(|child| **child != address)?;
        (depth > 0).then(|| self.join(address, next, now, depth - 1))?
    }

    fn take_slot(&mut self, address: SocketAddr, now: Millis) {
        let candidates = &self.candidates[&address];
        let is_free = |slot: &Option<SocketAddr>| slot.is_none_or(|of| candidates.is_gone(of, now));
        let first = first_slot(&address.to_string());
        let free = (0..ROOTS).map(|turn| (first + turn) % ROOTS);
        let free = free.into_iter().find(|slot| is_free(&self.slots[*slot]));
        if let Some(slot) = free {
            self.slots[slot] = Some(address);
        }
    }

    /// How many others each is away from the store.
    fn depth(&self, of: SocketAddr) -> usize {
        let mut at = of;
        let mut depth = 0;
        while let Some(parent) = self.parents.get(&at) {
            at = *parent;
            depth += 1;
            assert!(
                depth <= self.children.len(),
                "they feed each other in a circle"
            );
        }
        depth
    }

    fn check(&self, name: &str) {
        assert_eq!(self.orphans(), Vec::new(), "{name}: nobody feeds them");
        let mut child_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for parent in self.parents.values() {
            *child_counts.entry(*parent).or_default() += 1;
        }
        let most = child_counts.values().max().copied().unwrap_or_default();
        assert!(most <= MAX_CHILDREN, "{name}: one feeds {most}");
        let depth = self.children.keys().map(|of| self.depth(*of)).max();
        assert!(
            depth.unwrap_or_default() <= 4,
            "{name}: {depth:?} from the store"
        );
    }
}

/// A fleet of hundreds of instances asks the store so often that it turns calls away, if
/// each asks by itself.
#[test]
fn few_instances_of_a_fleet_ask_the_store() {
    struct Test {
        centres: usize,
        instances: usize,
        name: &'static str,
    }

    for test in [
        Test {
            centres: 6,
            instances: 986,
            name: "the fleet",
        },
        Test {
            centres: 6,
            instances: 1_972,
            name: "twice the fleet",
        },
        Test {
            centres: 8,
            instances: 3_760,
            name: "the target",
        },
    ] {
        let mut group = Group::default();
        for number in 0..test.instances / test.centres {
            group.start(number);
        }
        // All start at the same moment; each place is taken by one of them.
        for round in 0..20 {
            group.find_parents(Millis(round * 150));
        }
        group.check(test.name);
        let roots: BTreeSet<SocketAddr> = group.slots.iter().flatten().copied().collect();
        assert_eq!(roots.len(), ROOTS, "{}", test.name);
        let asked = roots.len() * test.centres * CALLS_PER_INSTANCE;
        assert!(
            asked <= MAX_STORE_READS,
            "{}: {asked} calls a second",
            test.name
        );
        let before = test.instances * CALLS_PER_INSTANCE;
        assert!(
            before > MAX_STORE_READS,
            "{}: no load to speak of",
            test.name
        );
    }
}

/// Most of those that feed others end at the same moment, the roots among them: the
/// others are fed again within a second.
#[test]
fn instances_find_new_parents_when_theirs_end() {
    for keep in [0, 1, 3] {
        let mut group = Group::default();
        for number in 0..400 {
            group.start(number);
        }
        for round in 0..20 {
            group.find_parents(Millis(round * 150));
        }
        let roots: Vec<SocketAddr> = group.slots.iter().flatten().copied().collect();
        let parents: BTreeSet<SocketAddr> = group.parents.values().copied().collect();
        let lost = parents
            .iter()
            .enumerate()
            .filter(|(number, _)| keep == 0 || number % keep != 0);
        let lost: Vec<SocketAddr> = lost.map(|(_, address)| *address).collect();
        for address in lost.iter().chain(&roots) {
            group.end(*address);
        }
        for round in 0..7 {
            group.find_parents(Millis(10_000 + round * 150));
        }
        group.check(&format!("{} of {} feeders lost", lost.len(), parents.len()));
    }
}

/// A feeder that is frozen or cut off is noticed by the age of what it tells.
#[test]
fn old_answers_are_stale() {
    for (age, hold, stale) in [
        (0, 500, false),
        (1_200, 500, false),
        (1_201, 500, true),
        (1_300, 1_000, false),
    ] {
        assert_eq!(
            is_stale(Millis(age), Millis(hold)),
            stale,
            "{age} of {hold}"
        );
    }
}

/// One that was left is not asked again at once, and one that does not answer is
/// replaced only when it had the time to start again.
#[test]
fn left_and_unreachable_parents_are_remembered() {
    let mut parents = Parents::default();
    let (one, other) = (address(1), address(2));
    parents.leave(one, Millis(1_000));
    assert_eq!(parents.order("a", &[one, other], Millis(3_900)), [other]);
    assert_eq!(parents.order("a", &[one, other], Millis(4_000)).len(), 2);

    parents.note_unreachable(one, Millis(1_000));
    parents.note_unreachable(one, Millis(1_500));
    assert!(!parents.is_gone(one, Millis(1_599)));
    assert!(parents.is_gone(one, Millis(1_600)));
    parents.note_reachable(one);
    assert!(!parents.is_gone(one, Millis(9_000)));
}

/// A child that asks no more leaves its room to another.
#[test]
fn a_child_that_stops_asking_frees_its_place() {
    let mut children = Children::default();
    for number in 0..MAX_CHILDREN {
        assert!(children.admit(&number.to_string(), address(number), Millis(0)));
    }
    assert!(!children.admit("late", address(99), Millis(3_000)));
    assert!(children.admit("0", address(0), Millis(3_000)));
    assert!(children.admit("late", address(99), Millis(4_000)));
    assert_eq!(children.count(), 2);
}
