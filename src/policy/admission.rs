//! Admission control of an entry: limits the calls in flight of each team and class.

use crate::base::{
    Cause,
    Failure,
    Millis, //
};
use std::collections::HashMap;

/// The numbers of calls in flight at this entry, by team and class.
///
/// # Invariants
///
/// A counter equals the number of calls that were admitted and not yet released.
#[derive(Debug, Default)]
pub struct Admission {
    /// By team and class.
    classes: HashMap<(String, String), u32>,
    /// By team.
    teams: HashMap<String, u32>,
}

/// The maximum numbers of calls in flight that apply to one call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Calls of the same team and class.
    pub class: u32,
    /// Calls of the same team.
    pub team: u32,
}

/// How long a refused caller is asked to wait before it tries again.
const RETRY_AFTER_LIMIT: Millis = Millis(250);

impl Admission {
    /// Removes a call that [`Admission::admit`] counted.
    pub fn release(&mut self, team: &str, class: &str) {
        if let Some(count) = self.teams.get_mut(team) {
            *count = count.saturating_sub(1);
        }
        if let Some(count) = self.classes.get_mut(&(team.to_owned(), class.to_owned())) {
            *count = count.saturating_sub(1);
        }
    }

    /// Counts a call, or returns a failure if its class or its team is at its limit.
    pub fn admit(&mut self, team: &str, class: &str, limits: Limits) -> Result<(), Failure> {
        let in_team = self.teams.entry(team.to_owned()).or_default();
        let in_class = self
            .classes
            .entry((team.to_owned(), class.to_owned()))
            .or_default();
        if *in_class >= limits.class {
            return Err(refusal(&format!("class `{class}`"), limits.class));
        }
        if *in_team >= limits.team {
            return Err(refusal(&format!("team `{team}`"), limits.team));
        }

        *in_team += 1;
        *in_class += 1;
        Ok(())
    }
}

/// The failure of a call whose class or team, named by `scope`, is at its limit.
fn refusal(scope: &str, limit: u32) -> Failure {
    let detail = format!("{scope} has its {limit} calls in flight at this entry");
    Failure::not_run(Cause::Overloaded, detail).retry_after(RETRY_AFTER_LIMIT)
}

#[cfg(test)]
mod tests {
    use super::*;

    struct Test {
        calls: &'static [(&'static str, &'static str)],
        admitted: &'static [bool],
    }

    impl Test {
        fn run(self) {
            let mut admission = Admission::default();
            let limits = Limits { class: 2, team: 3 };
            let admitted: Vec<bool> = self
                .calls
                .iter()
                .map(|(team, class)| admission.admit(team, class, limits).is_ok())
                .collect();
            assert_eq!(admitted, self.admitted);
        }
    }

    #[test]
    fn one_class_cannot_use_up_the_team() {
        Test {
            calls: &[("a", "x"), ("a", "x"), ("a", "x"), ("a", "y"), ("a", "z")],
            admitted: &[true, true, false, true, false],
        }
        .run();
    }

    #[test]
    fn teams_have_separate_limits() {
        Test {
            calls: &[("a", "x"), ("a", "x"), ("a", "y"), ("b", "x")],
            admitted: &[true, true, true, true],
        }
        .run();
    }

    #[test]
    fn a_released_call_makes_room_for_another() {
        let mut admission = Admission::default();
        let limits = Limits { class: 1, team: 1 };
        for _ in 0..3 {
            assert!(admission.admit("a", "x", limits).is_ok());
            assert!(admission.admit("a", "x", limits).is_err());
            admission.release("a", "x");
        }
    }
}
