//! The faults that the soak injects into the site, drawn from its seed.

use super::keys::WORKSPACES;
use crate::{
    relay::Silence,
    site::{CollectorFault, Outage, PlainFault, StoreFaults}, //
};
use rand::Rng;
use redwingpond::base::Millis;

/// The number of engines, and of runners.
pub(super) const ENGINES: usize = 4;

/// The number of gateways.
pub(super) const GATEWAYS: usize = 3;

/// The number of plain servers.
pub(super) const PLAIN: usize = 3;

/// One fault. Processes are numbered gateways first, then runners.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// The collector of usage reports misbehaves for `duration`.
    UsageCollector {
        fault: CollectorFault,
        duration: Millis,
    },
    /// The engine cuts its streams off in the middle of an event for `duration`.
    CutStreams { engine: usize, duration: Millis },
    /// The engine is down for `duration`.
    EngineDown { engine: usize, duration: Millis },
    /// A caller keeps sending a call that crashes each server that runs it, to random
    /// gateways, for `duration`.
    FatalCalls { duration: Millis },
    /// A trainer submits a batch with an item that crashes each engine that runs it.
    FatalItem,
    /// The store forgets its history of changes.
    ForgetHistory,
    /// The operators replace a workspace's key with a new one.
    RotateKey { workspace: usize },
    /// The process receives SIGHUP.
    Hangup { process: usize },
    /// The engine restarts at once under the same id; its runs go silent.
    EngineRestart { engine: usize },
    /// The process receives SIGKILL and is started again after `pause`.
    Kill { process: usize, pause: Millis },
    /// The process receives SIGSTOP, and SIGCONT after `duration`.
    Pause { process: usize, duration: Millis },
    /// The plain server misbehaves for `duration`.
    PlainServer {
        fault: PlainFault,
        duration: Millis,
        server: usize,
    },
    /// The process's current connections to the store go silent; new ones work.
    Silence { process: usize, silence: Silence },
    /// The store misbehaves for `duration`.
    Store {
        faults: StoreFaults,
        duration: Millis,
    },
    /// The process receives SIGTERM and is started again once it has exited.
    Stop { process: usize },
    /// For `duration`, the store's server announcements include entries of another writer,
    /// some of them with the engine's address.
    ForeignEntries { engine: usize, duration: Millis },
}

/// Draws the times and faults of a soak that lasts `duration`; faults may overlap.
pub(super) fn draw_faults(rng: &mut impl Rng, duration: Millis) -> Vec<(Millis, Fault)> {
    let mut plan = Vec::new();
    let mut at = 300;
    while at < duration.0 {
        plan.push((Millis(at), draw_fault(rng)));
        // A third of the faults follow the previous one within 80 ms.
        at += match rng.random_range(0..3) {
            0 => rng.random_range(10..80),
            _ => rng.random_range(300..1_200),
        };
    }
    plan
}

/// Draws replacements of keys and faults of the usage collector. The caller passes a
/// generator of their own, so that each seed keeps its plan of the other faults.
pub(super) fn draw_key_and_usage_faults(
    rng: &mut impl Rng,
    duration: Millis,
) -> Vec<(Millis, Fault)> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(300..1_500);
    while at < duration.0 {
        let fault = match rng.random_range(0..3) {
            0 => Fault::UsageCollector {
                fault: draw_collector_fault(rng),
                duration: Millis(rng.random_range(200..2_500)),
            },
            _ => Fault::RotateKey {
                workspace: rng.random_range(0..WORKSPACES.len()),
            },
        };
        plan.push((Millis(at), fault));
        at += rng.random_range(20..2_500);
    }
    plan
}

fn draw_collector_fault(rng: &mut impl Rng) -> CollectorFault {
    match rng.random_range(0..3) {
        0 => CollectorFault::Busy,
        1 => CollectorFault::Lost,
        _ => CollectorFault::Reset,
    }
}

fn draw_fault(rng: &mut impl Rng) -> Fault {
    let process = rng.random_range(0..GATEWAYS + ENGINES);
    let engine = rng.random_range(0..ENGINES);
    let duration = Millis(rng.random_range(200..2_500));
    match rng.random_range(0..15) {
        0 => Fault::CutStreams { engine, duration },
        1 => Fault::EngineDown { engine, duration },
        2 => Fault::ForgetHistory,
        3 => Fault::Hangup { process },
        4 | 5 => Fault::Kill {
            pause: Millis(rng.random_range(0..600)),
            process,
        },
        6 => Fault::Pause { duration, process },
        7 => Fault::PlainServer {
            fault: draw_plain_fault(rng),
            duration,
            server: rng.random_range(0..PLAIN),
        },
        8 => Fault::Silence {
            process,
            silence: Silence {
                from_target: rng.random(),
                to_target: rng.random(),
            },
        },
        9 => Fault::Store {
            faults: draw_store_faults(rng),
            duration,
        },
        10 => Fault::EngineRestart { engine },
        11 => Fault::ForeignEntries { engine, duration },
        12 => Fault::FatalCalls { duration },
        13 => Fault::FatalItem,
        _ => Fault::Stop { process },
    }
}

fn draw_plain_fault(rng: &mut impl Rng) -> PlainFault {
    match rng.random_range(0..4) {
        0 => PlainFault::Foreign,
        1 => PlainFault::Full,
        2 => PlainFault::Mute,
        _ => PlainFault::Reset,
    }
}

fn draw_store_faults(rng: &mut impl Rng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match rng.random_range(0..6) {
        0 => faults.outage = Outage::Busy,
        1 => faults.outage = Outage::Reset,
        2 => faults.outage = Outage::Silent,
        3 => faults.delay = Millis(rng.random_range(50..300)),
        4 => faults.lost_answers = Some(rng.random_range(2..6)),
        _ => {
            let every = rng.random_range(3..8);
            faults.late_writes = Some((every, Millis(rng.random_range(300..2_000))));
        }
    }
    faults
}
