//! What the soak does to the site, drawn from its seed.

use super::keys::WORKSPACES;
use crate::{
    relay::Silence,
    site::{CloudFault, Outage, PlainFault, StoreFaults}, //
};
use rand::Rng;
use redwingpond::base::Millis;

/// How many of each a soak has.
pub(super) const ENGINES: usize = 4;
pub(super) const GATEWAYS: usize = 3;
pub(super) const PLAIN: usize = 3;

/// One fault. Processes are counted gateways first, then runners.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// The platform that takes reports of use misbehaves for a while.
    Cloud { fault: CloudFault, length: Millis },
    /// The engine cuts its streams within events for a while.
    CutStreams { engine: usize, length: Millis },
    /// The engine is gone for a while.
    EngineDown { engine: usize, length: Millis },
    /// A caller sends the call that ends each server that runs it, at one gateway
    /// after the other.
    FatalCalls { length: Millis },
    /// A trainer submits a batch with an item that ends each engine that runs it.
    FatalItem,
    /// The store forgets its history.
    Forget,
    /// The operators take a workspace's key away and give it another one.
    Keys { workspace: usize },
    /// SIGHUP.
    Hangup { process: usize },
    /// The engine starts again under its id, at once; what it ran is silent.
    EngineAgain { engine: usize },
    /// SIGKILL; it starts again after the pause.
    Kill { process: usize, pause: Millis },
    /// SIGSTOP, and SIGCONT after a while.
    Pause { process: usize, length: Millis },
    /// The plain server misbehaves for a while.
    Plain {
        fault: PlainFault,
        length: Millis,
        server: usize,
    },
    /// The process's connections to the store go silent; new ones work.
    Silence { process: usize, silence: Silence },
    /// The store misbehaves for a while.
    Store { faults: StoreFaults, length: Millis },
    /// SIGTERM; it starts again once it has ended.
    Stop { process: usize },
    /// Another writer's entries stand among the announcements for a while, with
    /// the engine's address.
    Stranger { engine: usize, length: Millis },
}

/// Draws a plan for `length`: faults in series that overlap.
pub(super) fn draw(rng: &mut impl Rng, length: Millis) -> Vec<(Millis, Fault)> {
    let mut plan = Vec::new();
    let mut at = 300;
    while at < length.0 {
        plan.push((Millis(at), one(rng)));
        // A third of them follow on the last one's heels.
        at += match rng.random_range(0..3) {
            0 => rng.random_range(10..80),
            _ => rng.random_range(300..1_200),
        };
    }
    plan
}

/// Draws changes of keys and faults of the platform that takes reports. They come
/// beside the others, whose plans stay what they were for each seed.
pub(super) fn draw_duties(rng: &mut impl Rng, length: Millis) -> Vec<(Millis, Fault)> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(300..1_500);
    while at < length.0 {
        let fault = match rng.random_range(0..3) {
            0 => Fault::Cloud {
                fault: cloud(rng),
                length: Millis(rng.random_range(200..2_500)),
            },
            _ => Fault::Keys {
                workspace: rng.random_range(0..WORKSPACES.len()),
            },
        };
        plan.push((Millis(at), fault));
        at += rng.random_range(20..2_500);
    }
    plan
}

fn cloud(rng: &mut impl Rng) -> CloudFault {
    match rng.random_range(0..3) {
        0 => CloudFault::Busy,
        1 => CloudFault::Lost,
        _ => CloudFault::Reset,
    }
}

fn one(rng: &mut impl Rng) -> Fault {
    let process = rng.random_range(0..GATEWAYS + ENGINES);
    let engine = rng.random_range(0..ENGINES);
    let length = Millis(rng.random_range(200..2_500));
    match rng.random_range(0..15) {
        0 => Fault::CutStreams { engine, length },
        1 => Fault::EngineDown { engine, length },
        2 => Fault::Forget,
        3 => Fault::Hangup { process },
        4 | 5 => Fault::Kill {
            pause: Millis(rng.random_range(0..600)),
            process,
        },
        6 => Fault::Pause { length, process },
        7 => Fault::Plain {
            fault: plain(rng),
            length,
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
            faults: store(rng),
            length,
        },
        10 => Fault::EngineAgain { engine },
        11 => Fault::Stranger { engine, length },
        12 => Fault::FatalCalls { length },
        13 => Fault::FatalItem,
        _ => Fault::Stop { process },
    }
}

fn plain(rng: &mut impl Rng) -> PlainFault {
    match rng.random_range(0..4) {
        0 => PlainFault::Foreign,
        1 => PlainFault::Full,
        2 => PlainFault::Mute,
        _ => PlainFault::Reset,
    }
}

fn store(rng: &mut impl Rng) -> StoreFaults {
    let mut faults = StoreFaults::default();
    match rng.random_range(0..6) {
        0 => faults.outage = Outage::Busy,
        1 => faults.outage = Outage::Reset,
        2 => faults.outage = Outage::Silent,
        3 => faults.slow = Millis(rng.random_range(50..300)),
        4 => faults.lost_answers = Some(rng.random_range(2..6)),
        _ => {
            let every = rng.random_range(3..8);
            faults.late_writes = Some((every, Millis(rng.random_range(300..2_000))));
        }
    }
    faults
}
