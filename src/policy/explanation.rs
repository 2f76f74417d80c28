//! Determines what happened to one request from the accounts that several processes
//! kept of it.

use crate::base::{
    Account,
    Event,
    Verdict, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// What happened to a request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Explanation {
    /// The accounts of the agents that received the request.
    pub agents: Vec<Account>,
    /// Whether the whole answer was handed to the caller's connection; `None` if that
    /// can't be known.
    pub delivered: Option<bool>,
    /// The account of the entry that issued the request.
    pub entry: Option<Account>,
    pub verdict: Verdict,
    /// How the verdict is known, or why it is uncertain.
    pub why: String,
}

/// Combines the accounts of the issuing entry and the agents.
///
/// It concludes that a request did not run only with proof: the request was refused
/// before any hand-over, or every agent that received it refused to run it.
pub fn conclude(entry: Option<Account>, agents: Vec<Account>) -> Explanation {
    let agent_events = || agents.iter().flat_map(|account| &account.events);
    let entry_events = || entry.iter().flat_map(|account| &account.events);
    let started = agent_events().any(|(_, event)| matches!(event, Event::Started { .. }));
    let arrived = entry_events().any(|(_, event)| *event == Event::Finished);
    let finished = arrived || agent_events().any(|(_, event)| *event == Event::Finished);
    let delivered = entry_events().any(|(_, event)| *event == Event::Delivered);
    let ended = entry_events().any(|(_, event)| {
        matches!(
            event,
            Event::Delivered | Event::Failed { .. } | Event::Finished
        )
    });

    let (verdict, why) = verdict(entry.as_ref(), started, finished, ended);
    let delivered = match (&entry, delivered) {
        (_, true) => Some(true),
        (Some(_), false) if ended && !arrived => Some(false),
        (Some(_) | None, false) => None,
    };
    Explanation {
        delivered,
        verdict,
        why: why.to_owned(),
        agents,
        entry,
    }
}

/// Returns the verdict and the reason for it; `ended` is whether the entry is done with
/// the request.
fn verdict(
    entry: Option<&Account>,
    started: bool,
    finished: bool,
    ended: bool,
) -> (Verdict, &'static str) {
    if finished {
        return (
            Verdict::Ran,
            "its whole answer came from the backend server",
        );
    }
    if started {
        return (Verdict::Ran, "its agent started it at the backend server");
    }
    let Some(entry) = entry else {
        let why = "no process that was asked has kept a record of it";
        return (Verdict::MayHaveRun, why);
    };
    if !ended {
        let why = "it is still under way";
        return (Verdict::MayHaveRun, why);
    }

    let events = entry.events.iter().map(|(_, event)| event);
    let routed = events.clone().any(|e| matches!(e, Event::Routed { .. }));
    if !routed {
        return (Verdict::NotRun, "it was refused before any hand-over");
    }
    let in_doubt = events.clone().any(|event| {
        let verdict = match event {
            Event::Failed { verdict, .. } | Event::Retried { verdict, .. } => *verdict,
            _ => Verdict::NotRun,
        };
        verdict.may_have_run()
    });
    if in_doubt {
        let why = "an agent that had it went silent, and its account is not at hand";
        return (Verdict::MayHaveRun, why);
    }
    (Verdict::NotRun, "every agent that had it refused to run it")
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::base::{
        Cause,
        Incarnation,
        Issuer,
        Millis,
        RequestId, //
    };

    struct Test {
        agents: Vec<Vec<Event>>,
        entry: Option<Vec<Event>>,
        verdict: Verdict,
    }

    impl Test {
        fn run(self) {
            let entry = self.entry.map(account);
            let agents = self.agents.into_iter().map(account).collect();
            let explanation = conclude(entry, agents);
            assert_eq!(explanation.verdict, self.verdict, "{}", explanation.why);
        }
    }

    fn account(events: Vec<Event>) -> Account {
        let request = RequestId {
            incarnation: Incarnation(1),
            issuer: Issuer(1),
            second: 0,
            sequence: 0,
        };
        let mut account = Account::new(request, "team", "class");
        for event in events {
            account.record(Millis(0), event);
        }
        account
    }

    fn failed(verdict: Verdict) -> Event {
        Event::Failed {
            cause: Cause::LinkLost,
            verdict,
        }
    }

    fn retried(verdict: Verdict) -> Event {
        Event::Retried {
            cause: Cause::LinkLost,
            verdict,
        }
    }

    fn routed() -> Event {
        Event::Routed {
            reason: String::new(),
            server: String::new(),
        }
    }

    fn started() -> Event {
        Event::Started {
            server: String::new(),
        }
    }

    #[test]
    fn refused_before_hand_over() {
        Test {
            agents: vec![],
            entry: Some(vec![failed(Verdict::NotRun)]),
            verdict: Verdict::NotRun,
        }
        .run();
    }

    #[test]
    fn no_process_has_an_account() {
        Test {
            agents: vec![],
            entry: None,
            verdict: Verdict::MayHaveRun,
        }
        .run();
    }

    #[test]
    fn still_in_progress() {
        Test {
            agents: vec![],
            entry: Some(vec![Event::Admitted, routed()]),
            verdict: Verdict::MayHaveRun,
        }
        .run();
    }

    #[test]
    fn first_agent_silent_and_second_refused() {
        Test {
            agents: vec![],
            entry: Some(vec![
                routed(),
                retried(Verdict::MayHaveRun),
                routed(),
                failed(Verdict::NotRun),
            ]),
            verdict: Verdict::MayHaveRun,
        }
        .run();
    }

    #[test]
    fn started_by_the_account_of_an_agent_only() {
        Test {
            agents: vec![vec![Event::Queued, started()]],
            entry: None,
            verdict: Verdict::Ran,
        }
        .run();
    }

    #[test]
    fn every_agent_refused() {
        Test {
            agents: vec![vec![failed(Verdict::NotRun)]],
            entry: Some(vec![
                routed(),
                retried(Verdict::NotRun),
                routed(),
                failed(Verdict::NotRun),
            ]),
            verdict: Verdict::NotRun,
        }
        .run();
    }
}
