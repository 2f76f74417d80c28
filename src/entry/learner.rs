//! The duty that learns the shared settings and the list of instances.

use super::{
    directory::Directory,
    forward::{self, Forward},
    news::{Change, News}, //
};
use crate::{
    base::{Millis, stable_hash},
    duty::{Context, Phase},
    policy::subset,
    settings::{EntrySettings, SETTINGS_PREFIX}, //
    table::{EntityTag, PlatformClient},
};
use std::{
    net::SocketAddr,
    sync::Arc, //
};
use tokio::sync::watch;

/// The entries that read the platform. All others learn from these, so that
/// the platform's reads don't grow with the fleet.
const READERS: usize = 24;

/// How often a reader reads, and the wait after a failure.
const READ: Millis = Millis(1_000);

/// How long a reader holds a peer's question while nothing is new.
pub(super) const HOLD: Millis = Millis(20_000);

/// The path of the question to a reader.
pub(super) const PATH: &str = "/internal/directory";

/// Learns until the program stops.
pub(super) async fn run(
    context: Context,
    settings: EntrySettings,
    forward: Forward,
    directory: watch::Sender<Arc<Directory>>,
) {
    context.mark_drained();
    let platform = PlatformClient::open(settings.common.platform);
    let mut failed = 0;
    let mut tags = (EntityTag::default(), EntityTag::default());
    loop {
        let known = directory.borrow().clone();
        let peer = peer(&settings, &known, failed);
        let learned = tokio::select! {
            learned = learn(&platform, &forward, &known, peer, &mut tags) => learned,
            () = context.reached(Phase::Stopped) => return,
        };
        let told = learned.is_some() && peer.is_some();
        match learned {
            Some(news) => {
                failed = 0;
                take(&directory, &known, news, peer);
            }
            None => failed += 1,
        }
        if told {
            continue;
        }
        // Without a share of its own each, all would ask at the same moment.
        let name = settings.common.instance.as_bytes();
        let jitter = stable_hash(&[name, &context.clock.micros().to_le_bytes()]) % READ.0;
        let wait = Millis(READ.0 / 2 + jitter);
        tokio::select! {
            () = tokio::time::sleep(wait.as_duration()) => {}
            () = context.reached(Phase::Stopped) => return,
        }
    }
}

async fn learn(
    platform: &PlatformClient,
    forward: &Forward,
    known: &Directory,
    peer: Option<SocketAddr>,
    tags: &mut (EntityTag, EntityTag),
) -> Option<News> {
    if let Some(peer) = peer {
        let (revision, stamp) = (known.revision(), known.stamp());
        let path = format!("{PATH}?revision={revision}&stamp={stamp}");
        let answer = forward::get(forward, peer, &path, HOLD + READ).await.ok()?;
        return serde_json::from_slice(&answer).ok();
    }
    let listing = platform.list(SETTINGS_PREFIX, &mut tags.0).await.ok()?;
    let instances = platform.instances(&mut tags.1).await.ok()?;
    let instances = instances.map_or(Change::Same, |mut list| {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        Change::All(list)
    });
    let listing = listing.unwrap_or_default();
    Some(News {
        instances,
        revision: listing.revision,
        rows: listing.rows,
    })
}

/// Whom to ask this time; `None` means the platform.
///
/// Readers ask the platform, and a peer while it fails. The others ask the
/// readers in turn, and the platform when all of them failed.
fn peer(settings: &EntrySettings, known: &Directory, failed: usize) -> Option<SocketAddr> {
    let me = &settings.common.instance;
    let entries = || known.instances.iter().filter(|one| one.pool.is_none());
    let names = entries().map(|one| one.name.as_str());
    let readers = subset::choose("directory", names, READERS);
    let mut peers: Vec<SocketAddr> = entries()
        .filter(|one| readers.contains(&one.name.as_str()) && one.name != *me)
        .map(|one| one.links)
        .collect();
    if peers.is_empty() {
        peers.clone_from(&settings.peers);
    }

    let reads = readers.is_empty() || readers.contains(&me.as_str());
    // The platform's place among those asked in turn: first for a reader.
    let turn = failed % (peers.len() + 1);
    match reads {
        true => turn.checked_sub(1).map(|at| peers[at]),
        false => peers.get(turn).copied(),
    }
}

fn take(
    directory: &watch::Sender<Arc<Directory>>,
    known: &Directory,
    news: News,
    peer: Option<SocketAddr>,
) {
    let Some(next) = known.merged(news) else {
        return;
    };
    tracing::info!(
        revision = next.revision(),
        instances = next.instances.len(),
        from = peer.map_or("platform".to_owned(), |peer| peer.to_string()),
        "directory"
    );
    metrics::gauge!("redwing_settings_revision").set(next.revision() as f64);
    directory.send_replace(Arc::new(next));
}
