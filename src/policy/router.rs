//! Chooses the server of a pool that gets a request.

use crate::base::Millis;
use serde::{
    Deserialize,
    Serialize, //
};

/// How requests are routed, queued and retried; a setting, so that the two policies can
/// be compared.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Round robin over the eligible servers, plain queues and plain retries.
    Baseline,
    /// Routing by load, queues shared between teams and retries within a budget.
    #[default]
    Current,
}

/// A server that could get the request.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<K> {
    /// The number of requests that the server runs at once.
    pub capacity: u32,
    /// One-way delay to the server's data centre.
    pub distance: Millis,
    /// Whether it may get new work: linked, not draining, not excluded.
    pub eligible: bool,
    /// The number of this entry's requests in flight there.
    pub in_flight: u32,
    /// Identifies the server to the caller.
    pub key: K,
    /// The recent latency of requests to it, in ms.
    pub latency: f64,
    /// The number of other entries' requests there, by its last report.
    pub others: u32,
    /// The age of that report.
    pub report_age: Millis,
    /// Whether its circuit breaker allows this request.
    pub trusted: bool,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// It was the cheaper of two drawn at random.
    LeastWait,
    /// No circuit breaker allowed the request, and it was the cheapest of all.
    NoneTrusted,
    /// It was the only server whose circuit breaker allowed the request.
    OnlyOne,
    RoundRobin,
}

impl Reason {
    /// The word for the reason in decision log lines and accounts.
    pub fn word(self) -> &'static str {
        match self {
            Self::LeastWait => "least-wait",
            Self::NoneTrusted => "none-trusted",
            Self::OnlyOne => "only-one",
            Self::RoundRobin => "round-robin",
        }
    }
}

/// The expected cost of sending a request to a server, for comparison between servers.
///
/// The number of own requests in flight is known exactly. That of others is known from
/// a report that lags. It fades over a few times the latency, because after that time
/// other requests have taken the place of those reported. If it counted in full, all
/// entries would send to the server that looked idle half a second ago. What others do
/// there now shows in the latency.
pub fn cost<K>(candidate: &Candidate<K>) -> f64 {
    let fade = 1.0 + candidate.report_age.0 as f64 / (REPORT_FADE * candidate.latency);
    let others = f64::from(candidate.others) / fade;
    let ahead = 1.0 + f64::from(candidate.in_flight) + others / ASSUMED_ENTRIES;
    ahead * candidate.latency + 2.0 * candidate.distance.0 as f64
}

/// A report of this age, as a multiple of the latency, counts half.
const REPORT_FADE: f64 = 2.0;

/// The number of entries that are assumed to send evenly to the pool. Other entries'
/// requests are divided by it, to compare them with own requests.
const ASSUMED_ENTRIES: f64 = 4.0;

/// Chooses among `candidates`; `turn` counts requests for round robin, and `draw`
/// supplies random bits.
///
/// Compares two candidates drawn at random by cost, so that entries that see the same
/// stale report don't all choose the one server that looks idle.
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
    fn without_an_eligible_server_none_is_chosen() {
        let mut gone = candidate(1);
        gone.eligible = false;
        Test {
            candidates: vec![gone],
            chosen: None,
        }
        .run();
    }

    #[test]
    fn untrusted_servers_get_work_if_no_other_is_left() {
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
