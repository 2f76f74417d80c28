//! A waiting line that is shared between teams.

use std::collections::VecDeque;

/// Items by team; a pop goes to the team that has the least, and to each in
/// turn among equals.
///
/// # Invariants
///
/// `len` is the sum of all teams' items, and no team's line is empty.
#[derive(Debug)]
pub struct FairQueue<T> {
    len: usize,
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
    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// All items, for a look.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.teams.iter().flat_map(|(_, line)| line)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// The longest team's line: its team and its length.
    pub fn longest(&self) -> Option<(u64, usize)> {
        let lengths = self.teams.iter().map(|(team, line)| (*team, line.len()));
        lengths.max_by_key(|(_, length)| *length)
    }

    /// How many of `team` wait.
    pub fn len_of(&self, team: u64) -> usize {
        let line = self.teams.iter().find(|(one, _)| *one == team);
        line.map_or(0, |(_, line)| line.len())
    }

    /// Takes the oldest item of the team for which `running` is least, or its
    /// newest if `newest` holds for the oldest.
    pub fn pop(&mut self, running: impl Fn(u64) -> u32, newest: impl Fn(&T) -> bool) -> Option<T> {
        let teams = self.teams.iter().enumerate();
        let (at, _) = teams.min_by_key(|(_, (team, _))| running(*team))?;
        let (team, mut line) = self.teams.remove(at)?;
        let item = match line.front().is_some_and(newest) {
            true => line.pop_back(),
            false => line.pop_front(),
        };
        if !line.is_empty() {
            self.teams.push_back((team, line));
        }
        self.len -= 1;
        item
    }

    /// Takes the newest item of `team` back out.
    pub fn pop_newest(&mut self, team: u64) -> Option<T> {
        let at = self.teams.iter().position(|(one, _)| *one == team)?;
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
        let line = self.teams.iter_mut().find(|(one, _)| *one == team);
        match line {
            Some((_, line)) => line.push_back(item),
            None => self.teams.push_back((team, VecDeque::from([item]))),
        }
    }

    /// Takes out all items for which `out` holds.
    pub fn extract_if(&mut self, mut out: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut taken = Vec::new();
        for (_, line) in &mut self.teams {
            for item in std::mem::take(line) {
                match out(&item) {
                    true => taken.push(item),
                    false => line.push_back(item),
                }
            }
        }
        self.teams.retain(|(_, line)| !line.is_empty());
        self.len -= taken.len();
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn teams_take_turns() {
        let mut line = FairQueue::default();
        for item in 0..6 {
            line.push(1, item);
        }
        line.push(2, 100);
        line.push(3, 200);
        let order: Vec<i32> = std::iter::from_fn(|| line.pop(|_| 0, |_| false)).collect();
        assert_eq!(order, [0, 100, 200, 1, 2, 3, 4, 5]);
        assert!(line.is_empty());
    }

    #[test]
    fn the_team_with_the_least_goes_first() {
        let mut line = FairQueue::default();
        for team in [1, 2, 3] {
            line.push(team, team);
        }
        let running = |team| if team == 2 { 0 } else { 5 };
        assert_eq!(line.pop(running, |_| false), Some(2));
    }

    #[test]
    fn counts_follow_every_change() {
        let mut line = FairQueue::default();
        for item in 0..10 {
            line.push(item % 3, item);
        }
        assert_eq!(line.longest().map(|(_, length)| length), Some(4));
        assert_eq!(line.pop_newest(0), Some(9));
        assert_eq!(line.extract_if(|item| item % 2 == 0).len(), 5);
        assert_eq!(line.len(), line.iter().count());
        assert_eq!(line.len_of(0) + line.len_of(1) + line.len_of(2), line.len());
    }
}
