//! The disruptions during the demo: an engine crash and graceful stops.

use crate::fleet::{
    Backend,
    Fleet, //
};
use redwingpond::base::Clock;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration, //
};

/// How long the crashed engine is down.
const CRASH_DOWNTIME: Duration = Duration::from_millis(800);

/// The disruptions that happened.
#[derive(Default)]
pub(super) struct Disruptions {
    /// Graceful stops that cut something off, or failed.
    pub(super) cut_by_stops: u64,
    /// Each disruption with its time, as text.
    pub(super) events: Vec<String>,
}

/// Crashes an engine after a quarter of the samples, replaces an agent after a
/// half, and stops an entry after three fifths, all under load. `progress` counts
/// the samples delivered, `total` is their final number.
pub(super) async fn disrupt(fleet: &mut Fleet, progress: &AtomicU64, total: u64) -> Disruptions {
    let clock = Clock::open();
    let mut disruptions = Disruptions::default();
    let mut record = |text: String| {
        eprintln!("  {text}");
        disruptions
            .events
            .push(format!("{:>6} ms  {text}", clock.micros() / 1_000));
    };

    wait_for_samples(progress, total / 4).await;
    let engines = fleet.members.iter();
    let engine = engines.clone().find_map(|member| match &member.backend {
        Backend::Engine(engine) => Some((engine, &member.name)),
        Backend::Scorer(_) | Backend::Service(_) => None,
    });
    if let Some((engine, name)) = engine {
        engine.crash(CRASH_DOWNTIME);
        record(format!(
            "engine `{name}` crashed for {} ms",
            CRASH_DOWNTIME.as_millis()
        ));
    }

    wait_for_samples(progress, total / 2).await;
    let mut cut_by_stops = 0;
    let last = fleet.members.last_mut();
    if let Some(member) = last {
        let name = member.name.clone();
        record(format!("agent `{name}` stops gracefully"));
        cut_by_stops += u64::from(!member.stop().await);
        let restarted = member.start(&fleet.platform, fleet.options).await;
        record(match restarted {
            Ok(()) => format!("agent `{name}` was replaced"),
            Err(error) => format!("agent `{name}` was not replaced: {error}"),
        });
    }

    wait_for_samples(progress, total * 3 / 5).await;
    let name = fleet.entries.first().map(|(name, _)| name.clone());
    let name = name.unwrap_or_default();
    record(format!("entry `{name}` stops gracefully"));
    cut_by_stops += u64::from(!fleet.stop_entry().await);
    record(format!("entry `{name}` has stopped"));
    disruptions.cut_by_stops = cut_by_stops;
    disruptions
}

/// Waits until `samples` samples are delivered.
async fn wait_for_samples(progress: &AtomicU64, samples: u64) {
    while progress.load(Ordering::Relaxed) < samples {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
