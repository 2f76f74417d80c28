//! A queue that is shared fairly between teams.

use std::collections::VecDeque;

/// Waiting items by team. [`FairQueue::pop`] takes an item of the team with the fewest
/// running requests; teams with equally many take turns.
///
/// # Invariants
///
/// `len` is the sum over all teams, and no team has an empty queue.
#[derive(Debug)]
pub struct FairQueue<T> {
    len: usize,
    /// The teams with waiting items; a team moves to the back with each pop.
    teams: VecDeque<(u64, VecDeque<T>)>,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            len: 0,
            teams: VecDeque::new(),
        }
    }
}

impl<T> FairQueue<T> {
    /// Whether no item waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of `team` before the first of the team's items with a greater key. The
    /// items of the team have to be in the order of their keys.
    pub fn insert_by_key<K: Ord>(&mut self, team: u64, item: T, key: impl Fn(&T) -> K) {
        let Some((_, queue)) = self.teams.iter_mut().find(|(id, _)| *id == team) else {
            self.push(team, item);
            return;
        };
        let own = key(&item);
        let at = queue.partition_point(|other| key(other) <= own);
        queue.insert(at, item);
        self.len += 1;
    }

    /// Iterates over all items, team by team.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.teams.iter().flat_map(|(_, queue)| queue)
    }

    /// The number of waiting items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns the team with the most waiting items, and their number.
    pub fn longest(&self) -> Option<(u64, usize)> {
        let lengths = self.teams.iter().map(|(team, queue)| (*team, queue.len()));
        lengths.max_by_key(|(_, length)| *length)
    }

    /// The number of waiting items of `team`.
    pub fn len_of(&self, team: u64) -> usize {
        let queue = self.teams.iter().find(|(id, _)| *id == team);
        queue.map_or(0, |(_, queue)| queue.len())
    }

    /// Removes the oldest item of the team for which `running` is lowest, or that
    /// team's newest item if `newest` is true for its oldest.
    pub fn pop(&mut self, running: impl Fn(u64) -> u32, newest: impl Fn(&T) -> bool) -> Option<T> {
        let teams = self.teams.iter().enumerate();
        let (at, _) = teams.min_by_key(|(_, (team, _))| running(*team))?;
        let (team, mut queue) = self.teams.remove(at)?;
        let item = match queue.front().is_some_and(newest) {
            true => queue.pop_back(),
            false => queue.pop_front(),
        };
        if !queue.is_empty() {
            self.teams.push_back((team, queue));
        }
        self.len -= 1;
        item
    }

    /// Removes the first item for which `fits` is true, of the team for which `running` is
    /// lowest among the teams with such an item.
    pub fn pop_fitting(
        &mut self,
        running: impl Fn(u64) -> u32,
        mut fits: impl FnMut(&T) -> bool,
    ) -> Option<T> {
        let mut order: Vec<usize> = (0..self.teams.len()).collect();
        order.sort_by_cached_key(|at| running(self.teams[*at].0));
        let found = order.into_iter().find_map(|at| {
            let index = self.teams[at].1.iter().position(&mut fits)?;
            Some((at, index))
        });
        let (at, index) = found?;
        let (team, mut queue) = self.teams.remove(at)?;
        let item = queue.remove(index);
        if !queue.is_empty() {
            self.teams.push_back((team, queue));
        }
        self.len -= 1;
        item
    }

    /// Removes the newest item of `team`.
    pub fn pop_newest(&mut self, team: u64) -> Option<T> {
        let at = self.teams.iter().position(|(id, _)| *id == team)?;
        let item = self.teams[at].1.pop_back();
        if self.teams[at].1.is_empty() {
            self.teams.remove(at);
        }
        self.len -= 1;
        item
    }

    /// Adds an item of `team`.
    pub fn push(&mut self, team: u64, item: T) {
        self.len += 1;
        let queue = self.teams.iter_mut().find(|(id, _)| *id == team);
        match queue {
            Some((_, queue)) => queue.push_back(item),
            None => self.teams.push_back((team, VecDeque::from([item]))),
        }
    }

    /// Iterates over the teams with waiting items, and the items of each.
    pub fn teams(&self) -> impl Iterator<Item = (u64, &VecDeque<T>)> {
        self.teams.iter().map(|(team, queue)| (*team, queue))
    }

    /// Removes and returns all items for which `out` is true.
    pub fn extract_if(&mut self, mut out: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for (_, queue) in &mut self.teams {
            for item in std::mem::take(queue) {
                match out(&item) {
                    true => taken.push(item),
                    false => queue.push_back(item),
                }
            }
        }
        self.teams.retain(|(_, queue)| !queue.is_empty());
        self.len -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn teams_take_turns() {
        let mut queue = FairQueue::default();
        for item in 0..6 {
            queue.push(1, item);
        }
        queue.push(2, 100);
        queue.push(3, 200);
        let order: Vec<i32> = std::iter::from_fn(|| queue.pop(|_| 0, |_| false)).collect();
        assert_eq!(order, [0, 100, 200, 1, 2, 3, 4, 5]);
        assert!(queue.is_empty());
    }

    #[test]
    fn the_team_with_the_fewest_running_goes_first() {
        let mut queue = FairQueue::default();
        for team in [1, 2, 3] {
            queue.push(team, team);
        }
        let running = |team| if team == 2 { 0 } else { 5 };
        assert_eq!(queue.pop(running, |_| false), Some(2));
    }

    #[test]
    fn items_leave_by_key_and_only_if_they_fit() {
        let mut queue = FairQueue::default();
        for (team, item) in [(1, 30), (1, 10), (1, 20), (2, 15)] {
            queue.insert_by_key(team, item, |item| *item);
        }
        let running = |team| if team == 2 { 0 } else { 5 };
        assert_eq!(queue.pop_fitting(running, |item| *item != 10), Some(15));
        assert_eq!(queue.pop_fitting(running, |item| *item != 10), Some(20));
        assert_eq!(queue.pop_fitting(running, |_| false), None);
        assert_eq!(queue.pop_fitting(running, |_| true), Some(10));
        assert_eq!(queue.len(), 1);
    }

    #[test]
    fn counts_are_right_after_every_change() {
        let mut queue = FairQueue::default();
        for item in 0..10 {
            queue.push(item % 3, item);
        }
        assert_eq!(queue.longest().map(|(_, length)| length), Some(4));
        assert_eq!(queue.pop_newest(0), Some(9));
        assert_eq!(queue.extract_if(|item| item % 2 == 0).len(), 5);
        assert_eq!(queue.len(), queue.iter().count());
        assert_eq!(
            queue.len_of(0) + queue.len_of(1) + queue.len_of(2),
            queue.len()
        );
    }
}
