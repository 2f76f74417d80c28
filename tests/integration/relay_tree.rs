//! Simulations of the tree in which instances pass on the store's changes, while the
//! instances of a fleet start, end and lose their parents.

use redwingpond::{
    base::Millis,
    policy::relay::{Children, MAX_CHILDREN, Parents, ROOT_COUNT, first_slot, is_stale}, //
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr, //
};

/// The calls that an instance makes each second to follow four tables by itself, one of
/// which changes all the time.
const CALLS_PER_INSTANCE: usize = 24;

/// The reading calls that the store accepts each second from all instances.
const MAX_STORE_READS: usize = 2_000;

/// The instances of one program in one data centre, by address.
#[derive(Default)]
struct Group {
    /// The children that each instance serves.
    children: BTreeMap<SocketAddr, Children>,
    /// What each instance knows of its possible parents.
    candidates: BTreeMap<SocketAddr, Parents>,
    /// The parent of each instance that has one.
    parents: BTreeMap<SocketAddr, SocketAddr>,
    /// The root in each slot.
    slots: [Option<SocketAddr>; ROOT_COUNT],
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

    /// Ends an instance. Its children lose their parent.
    fn end(&mut self, address: SocketAddr) {
        self.children.remove(&address);
        self.candidates.remove(&address);
        self.parents.remove(&address);
        self.parents.retain(|_, parent| *parent != address);
    }

    fn is_root(&self, address: SocketAddr) -> bool {
        self.slots.contains(&Some(address))
    }

    /// The instances without a parent that are no roots.
    fn orphans(&self) -> Vec<SocketAddr> {
        let all = self.children.keys().copied();
        all.filter(|of| !self.is_root(*of) && !self.parents.contains_key(of))
            .collect()
    }

    /// Lets each child ask its parent, and each instance without a parent look once for
    /// one, or become a root.
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

    /// Asks `parent` and then its descendants, down to `depth` further levels, to
    /// accept `address` as a child. Returns the one that does.
    fn join(
        &mut self,
        address: SocketAddr,
        parent: SocketAddr,
        now: Millis,
        depth: usize,
    ) -> Option<SocketAddr> {
        let candidates = self.candidates.get_mut(&address)?;
        let Some(children) = self.children.get_mut(&parent) else {
            candidates.record_unreachable(parent, now);
            return None;
        };
        candidates.record_reachable(parent);
        if children.admit(&address.to_string(), address, now) {
            return Some(parent);
        }
        let below = candidates.order(&address.to_string(), &children.addresses(), now);
        let next = *below.iter().find(|child| **child != address)?;
        (depth > 0).then(|| self.join(address, next, now, depth - 1))?
    }

    /// Makes `address` a root, if a slot is free or its root is gone.
    fn take_slot(&mut self, address: SocketAddr, now: Millis) {
        let candidates = &self.candidates[&address];
        let is_free = |slot: &Option<SocketAddr>| slot.is_none_or(|of| candidates.is_gone(of, now));
        let first = first_slot(&address.to_string());
        let free = (0..ROOT_COUNT).map(|turn| (first + turn) % ROOT_COUNT);
        let free = free.into_iter().find(|slot| is_free(&self.slots[*slot]));
        if let Some(slot) = free {
            self.slots[slot] = Some(address);
        }
    }

    /// The number of instances between `of` and the store.
    fn depth(&self, of: SocketAddr) -> usize {
        let mut at = of;
        let mut depth = 0;
        while let Some(parent) = self.parents.get(&at) {
            at = *parent;
            depth += 1;
            assert!(depth <= self.children.len(), "the parents form a cycle");
        }
        depth
    }

    /// Checks that every instance has a parent or is a root, and that the tree is
    /// neither too wide nor too deep.
    fn check(&self, name: &str) {
        assert_eq!(
            self.orphans(),
            Vec::new(),
            "{name}: instances without a parent"
        );
        let mut child_counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for parent in self.parents.values() {
            *child_counts.entry(*parent).or_default() += 1;
        }
        let most = child_counts.values().max().copied().unwrap_or_default();
        assert!(
            most <= MAX_CHILDREN,
            "{name}: one instance has {most} children"
        );
        let depth = self.children.keys().map(|of| self.depth(*of)).max();
        assert!(
            depth.unwrap_or_default() <= 4,
            "{name}: {depth:?} levels below the roots"
        );
    }
}

/// If each instance of a fleet asked the store by itself, the store would refuse calls.
/// Only the roots may ask it.
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
        // All start at the same moment; each slot is taken by one of them.
        for round in 0..20 {
            group.find_parents(Millis(round * 150));
        }
        group.check(test.name);
        let roots: BTreeSet<SocketAddr> = group.slots.iter().flatten().copied().collect();
        assert_eq!(roots.len(), ROOT_COUNT, "{}", test.name);
        let asked = roots.len() * test.centres * CALLS_PER_INSTANCE;
        assert!(
            asked <= MAX_STORE_READS,
            "{}: {asked} calls a second",
            test.name
        );
        let before = test.instances * CALLS_PER_INSTANCE;
        assert!(
            before > MAX_STORE_READS,
            "{}: the store could serve every instance",
            test.name
        );
    }
}

/// Most parents end at the same moment, all roots among them. Every instance that is
/// left has a parent, or is a root, again after a second.
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
        group.check(&format!("{} of {} parents lost", lost.len(), parents.len()));
    }
}

/// A parent that is frozen or partitioned is detected by the age of its answers, which
/// may exceed the hold time of a request by 700 ms.
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

/// A parent that was left is not asked again at once. One that does not answer is
/// replaced only after the time that a restart takes.
#[test]
fn left_and_unreachable_parents_are_remembered() {
    let mut parents = Parents::default();
    let (one, other) = (address(1), address(2));
    parents.leave(one, Millis(1_000));
    assert_eq!(parents.order("a", &[one, other], Millis(3_900)), [other]);
    assert_eq!(parents.order("a", &[one, other], Millis(4_000)).len(), 2);

    parents.record_unreachable(one, Millis(1_000));
    parents.record_unreachable(one, Millis(1_500));
    assert!(!parents.is_gone(one, Millis(1_599)));
    assert!(parents.is_gone(one, Millis(1_600)));
    parents.record_reachable(one);
    assert!(!parents.is_gone(one, Millis(9_000)));
}

/// A child that has stopped asking makes room for another.
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
