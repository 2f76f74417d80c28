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
    /// What a request to it takes of late, in milliseconds.
    pub latency: f64,
    /// What others had there by its last report.
    pub others: u32,
    /// How old that report is.
    pub report_age: Millis,
    /// Whether its callers' experience allows this request.
    pub trusted: bool,
}

/// Why the chosen server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The cheaper of two drawn at random.
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

/// What sending a request to a server costs, to be compared between servers.
///
/// Own requests in flight are known exactly. What others have there is known
/// from a report that lags: it fades over a few times the latency, because
/// after that long other requests have taken their place. Were it believed in
/// full, all entries would run to the server that looked idle half a second
/// ago. What others do there now shows in the latency.
pub fn cost<K>(candidate: &Candidate<K>) -> f64 {
    let fade = 1.0 + candidate.report_age.0 as f64 / (REPORT_FADE * candidate.latency);
    let others = f64::from(candidate.others) / fade;
    let ahead = 1.0 + f64::from(candidate.in_flight) + others / ASSUMED_ENTRIES;
    ahead * candidate.latency + 2.0 * candidate.distance.0 as f64
}

/// A report counts half after this many times the latency.
const REPORT_FADE: f64 = 2.0;

/// Own requests are compared with those of others as if so many entries sent
/// evenly to the pool.
const ASSUMED_ENTRIES: f64 = 4.0;

/// Chooses among `candidates`; `draw` supplies random bits.
///
/// Two drawn at random, weighed by cost: entries that see the same
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
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        return Some((best.key, Reason::NoneTrusted));
    }
    if let [only] = trusted.as_slice() {
        return Some((only.key, Reason::OnlyOne));
    }

    let first = (draw % trusted.len() as u64) as usize;
    let step = 1 + ((draw >> 32) % (trusted.len() as u64 - 1)) as usize;
    let second = (first + step) % trusted.len();
    let (a, b) = (trusted[first], trusted[second]);
    let best = if cost(a) <= cost(b) { a } else { b };
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
            latency: 10.0,
            others: 0,
            report_age: Millis(0),
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
        busy.others = 40;
        Test {
            candidates: vec![busy, candidate(2)],
            chosen: Some((2, Reason::LeastWait)),
        }
        .run();
    }

    #[test]
    fn own_requests_in_flight_count() {
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
