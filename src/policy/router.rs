//! Which server of a pool gets a request.

use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// How servers are chosen, a setting so that the two can be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Round robin over the listed servers.
    Baseline,
    #[default]
    Current,
}

/// One server as a decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// Requests that the server takes at once.
    pub capacity: u32,
    /// One-way delay to the server's data centre.
    pub distance: Millis,
    /// Whether it takes new work at all: linked, not draining, not excluded.
    pub eligible: bool,
    /// What this entry has in flight there.
    pub in_flight: u32,
    pub key: K,
    /// Running and queued there by its last report, this entry's share included.
    pub reported: u32,
    /// This entry's share in flight when that report came.
    pub reported_mine: u32,
    pub service_time: Millis,
    /// Whether its callers' experience allows this request.
    pub trusted: bool,
}

/// Why the chosen server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The better of two drawn at random by expected wait.
    LeastWait,
    /// All were out of trust, so the best of all was taken.
    NoneTrusted,
    OnlyOne,
    RoundRobin,
}

impl Reason {
    /// The word used in decision lines and accounts.
    pub fn word(self) -> &'static str {
        match self {
            Self::LeastWait => "least-wait",
            Self::NoneTrusted => "none-trusted",
            Self::OnlyOne => "only-one",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// The expected time until a request sent now is answered, in milliseconds.
///
/// A report lags, so what this entry sent since it came is added to it.
pub fn expected<K>(candidate: &Candidate<K>) -> f64 {
    let since = candidate.in_flight.saturating_sub(candidate.reported_mine);
    let ahead = f64::from((candidate.reported + since).max(candidate.in_flight));
    let capacity = f64::from(candidate.capacity.max(1));
    let service = candidate.service_time.0.max(1) as f64;
    let rounds = 1.0 + ahead / capacity;
    rounds * service + 2.0 * candidate.distance.0 as f64
}

/// Chooses among `candidates`; `draw` supplies random bits.
///
/// Two drawn at random, weighed by expected wait: entries that see the same
/// stale report don't all run to the one server that looks idle.
pub fn choose<K: Copy>(
    policy: Policy,
    candidates: &[Candidate<K>],
    turn: u64,
    draw: u64,
) -> Option<(K, Reason)> {
    let eligible: Vec<&Candidate<K>> = candidates.iter().filter(|c| c.eligible).collect();
    if eligible.is_empty() {
        return None;
    }
    if policy == Policy::Baseline {
        let at = (turn % eligible.len() as u64) as usize;
        return Some((eligible[at].key, Reason::RoundRobin));
    }

    let trusted: Vec<&Candidate<K>> = eligible.iter().copied().filter(|c| c.trusted).collect();
    if trusted.is_empty() {
        let best = eligible
            .into_iter()
            .min_by(|a, b| expected(a).total_cmp(&expected(b)))?;
        return Some((best.key, Reason::NoneTrusted));
    }
    if let [only] = trusted.as_slice() {
        return Some((only.key, Reason::OnlyOne));
    }

    let first = (draw % trusted.len() as u64) as usize;
    let step = 1 + ((draw >> 32) % (trusted.len() as u64 - 1)) as usize;
    let second = (first + step) % trusted.len();
    let (a, b) = (trusted[first], trusted[second]);
    let best = if expected(a) <= expected(b) { a } else { b };
    Some((best.key, Reason::LeastWait))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn candidate(key: u8) -> Candidate<u8> {
        Candidate {
            capacity: 4,
            distance: Millis(1),
            eligible: true,
            in_flight: 0,
            key,
            reported: 0,
            reported_mine: 0,
            service_time: Millis(10),
            trusted: true,
        }
    }

    struct Test {
        candidates: Vec<Candidate<u8>>,
        chosen: Option<(u8, Reason)>,
    }

    impl Test {
        fn run(self) {
            assert_eq!(choose(Policy::Current, &self.candidates, 0, 7), self.chosen);
        }
    }

    #[test]
    fn busy_servers_are_passed_over() {
        let mut busy = candidate(1);
        busy.reported = 40;
        Test {
            candidates: vec![busy, candidate(2)],
            chosen: Some((2, Reason::LeastWait)),
        }
        .run();
    }

    #[test]
    fn what_was_sent_since_the_report_counts() {
        let mut sent = candidate(1);
        sent.in_flight = 12;
        Test {
            candidates: vec![candidate(2), sent],
            chosen: Some((2, Reason::LeastWait)),
        }
        .run();
    }

    #[test]
    fn nobody_eligible() {
        let mut gone = candidate(1);
        gone.eligible = false;
        Test {
            candidates: vec![gone],
            chosen: None,
        }
        .run();
    }

    #[test]
    fn all_out_of_trust_still_get_work() {
        let mut bad = candidate(1);
        bad.trusted = false;
        Test {
            candidates: vec![bad],
            chosen: Some((1, Reason::NoneTrusted)),
        }
        .run();
    }

    #[test]
    fn equal_servers_share_evenly() {
        let candidates: Vec<Candidate<u8>> = (0..9).map(candidate).collect();
        let mut counts = [0u32; 9];
        for turn in 0..9_000u64 {
            let draw = crate::base::stable_hash(&[&turn.to_le_bytes()]);
            let (key, _) = choose(Policy::Current, &candidates, turn, draw).unwrap();
            counts[usize::from(key)] += 1;
        }
        assert!(
            counts.iter().all(|c| (800..1_200).contains(c)),
            "{counts:?}"
        );
    }
}
