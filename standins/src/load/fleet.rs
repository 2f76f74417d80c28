//! The case `fleet`: what linked agents cost an entry that receives no calls.

use super::{
    LoadError,
    Outcome,
    Row,
    RunOptions,
    plot::Series,
    row::Aim,
    usage, //
};
use crate::platform::Platform;
use redwingpond::{
    base::{Incarnation, Millis},
    entry::Entry,
    policy::{router::Policy, subset::SUBSET_SIZE},
    settings::{CommonSettings, DrainSettings, EntrySettings, InstanceLimits, LogFormat},
    table::{Instance, InstanceState},
    wire::{
        FromAgent,
        Hello,
        LinkEvent,
        LinkTuning,
        Report,
        Role,
        ToAgent,
        handshake,
        run_link, //
    },
};
use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    time::Duration, //
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::JoinSet, //
};

/// The numbers of agents measured.
const AGENT_COUNTS: [usize; 4] = [32, 100, 200, 400];

/// How often each agent reports; real agents do so at most this often.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// The key with which agents and entry secure their links.
const LINK_KEY: &str = "fleet";

/// The resources that an entry used with a number of linked agents.
struct EntryUsage {
    agents: f64,
    /// Bytes per second received and sent, see [`loopback_bytes`].
    bytes: f64,
    /// Milliseconds of CPU time per second.
    cpu_ms: f64,
    /// Resident memory added, in bytes.
    memory: f64,
}

/// Runs the case.
pub async fn measure(run: RunOptions) -> Result<Outcome, LoadError> {
    let mut usages = Vec::new();
    for agents in AGENT_COUNTS {
        usages.push(measure_entry(agents, Duration::from_secs(run.seconds)).await?);
    }
    let slope = |figure: fn(&EntryUsage) -> f64| {
        let (first, last) = (usages.first()?, usages.last()?);
        Some((figure(last) - figure(first)) / (last.agents - first.agents))
    };
    // The aims are for 32 agents: an entry links to two pools of 16 servers each.
    let (first, last) = (usages.first(), usages.last());
    Ok(Outcome {
        results: vec![
            Row::new(
                "CPU for each agent",
                "us/s",
                None,
                slope(|u| u.cpu_ms * 1e3),
                Aim::None,
            ),
            Row::new(
                "bytes for each agent",
                "B/s",
                None,
                slope(|u| u.bytes),
                Aim::None,
            ),
            Row::new(
                "memory for each agent",
                "B",
                None,
                slope(|u| u.memory),
                Aim::None,
            ),
            Row::new(
                "CPU of a core at 32",
                "%",
                None,
                first.map(|u| u.cpu_ms / 10.0),
                Aim::AtMost(2.8),
            ),
            Row::new(
                "CPU of a core at 400",
                "%",
                None,
                last.map(|u| u.cpu_ms / 10.0),
                Aim::None,
            ),
            Row::new(
                "bytes at 32",
                "KB/s",
                None,
                first.map(|u| u.bytes / 1e3),
                Aim::AtMost(14.0),
            ),
            Row::new(
                "bytes at 400",
                "KB/s",
                None,
                last.map(|u| u.bytes / 1e3),
                Aim::None,
            ),
        ],
        series: vec![Series {
            name: "ms of CPU a second over linked agents".to_owned(),
            points: usages.iter().map(|u| (u.agents, u.cpu_ms)).collect(),
        }],
        ..Outcome::default()
    })
}

/// Opens a platform, `agents` agents and an entry, and measures the entry for `time`.
async fn measure_entry(agents: usize, time: Duration) -> Result<EntryUsage, LoadError> {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let platform = Platform::open(loopback, 1, Duration::ZERO).await?;
    platform.apply("pools/any", "kind: service\n");
    let mut tasks = JoinSet::new();
    for number in 0..agents {
        let listener = TcpListener::bind(loopback).await?;
        platform.put_instance(Instance {
            admin: loopback,
            data_centre: "hall".to_owned(),
            links: listener.local_addr()?,
            name: format!("agent-{number}"),
            pool: Some(format!("pool-{}", number / SUBSET_SIZE)),
            state: InstanceState::Live,
        });
        tasks.spawn(agent(listener, number));
    }
    let before = usage::own_memory();
    let common = common_settings(platform.address);
    let entry = Entry::open(EntrySettings {
        callers: loopback,
        common,
        limits: InstanceLimits::default(),
        distances: BTreeMap::new(),
        peers: Vec::new(),
        policy: Policy::Current,
    })
    .map_err(|source| LoadError::Fleet {
        source: source.into(),
    })?;
    tokio::time::sleep(Duration::from_secs(3)).await;

    let cpu = usage::cpu_times();
    let bytes = loopback_bytes();
    tokio::time::sleep(time).await;
    let seconds = time.as_secs_f64();
    let used = EntryUsage {
        agents: agents as f64,
        bytes: (loopback_bytes() - bytes) as f64 / seconds,
        cpu_ms: usage::cpu_since(&cpu, &usage::REDWING_THREADS) as f64 / 1e6 / seconds,
        memory: usage::own_memory().saturating_sub(before) as f64,
    };
    drop(entry);
    Ok(used)
}

/// The bytes received over the loopback interface so far. They include the links and
/// the platform's answers, with TCP and IP headers, each byte once.
fn loopback_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text.lines().find_map(|l| l.trim().strip_prefix("lo:"));
    let first = line.and_then(|line| line.split_whitespace().next());
    first.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn common_settings(platform: SocketAddr) -> CommonSettings {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    CommonSettings {
        admin: loopback,
        data_centre: "hall".to_owned(),
        drain: DrainSettings {
            timeout: Millis(1_000),
            close_delay: Millis(0),
        },
        instance: "entry".to_owned(),
        key: LINK_KEY.to_owned(),
        links: loopback,
        log: LogFormat::Text,
        log_level: "off".to_owned(),
        platform,
    }
}

/// An agent that only sends heartbeats and reports. Each report differs from the one
/// before.
async fn agent(listener: TcpListener, number: usize) {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let hello = Hello {
        incarnation: Incarnation(1),
        instance: format!("agent-{number}"),
        key: common_settings(loopback).link_key(),
        role: Role::Agent,
    };
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(opened) = handshake(stream, &hello).await else {
            continue;
        };
        let (inbox, mut events) = mpsc::channel::<LinkEvent<(), ToAgent, FromAgent>>(16);
        let reports = async {
            let Some(LinkEvent::Up { sender, .. }) = events.recv().await else {
                return;
            };
            let mut report = Report {
                capacity: 8,
                usable: true,
                ..Report::default()
            };
            loop {
                report.running = (report.running + 1) % 8;
                if !sender.send(FromAgent::Report(report.clone())).await {
                    return;
                }
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        };
        tokio::select! {
            () = run_link(opened, (), inbox, LinkTuning::default()) => {}
            () = reports => {}
        }
    }
}
