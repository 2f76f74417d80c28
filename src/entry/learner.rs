//! The duty that fetches the shared settings and the list of instances.

use super::{
    directory::Directory,
    directory_update::{DirectoryUpdate, InstancesChange}, //
    forward::{self, Forwarder},
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

/// The number of entries that read from the platform, called readers. All others fetch
/// from the readers, so that the load on the platform does not grow with the fleet.
const READER_COUNT: usize = 24;

/// How often a reader reads from the platform, and how long any entry waits after a
/// failure, both on average over the jitter.
const READ_INTERVAL: Millis = Millis(1_000);

/// How long a reader holds a peer's request while there is nothing new.
pub(super) const LONG_POLL_TIMEOUT: Millis = Millis(20_000);

/// The path of a peer's request for the directory.
pub(super) const DIRECTORY_PATH: &str = "/internal/directory";

/// Fetches until the program stops.
pub(super) async fn run(
    context: Context,
    settings: EntrySettings,
    forward: Forwarder,
    directory: watch::Sender<Arc<Directory>>,
) {
    context.mark_drained();
    let platform = PlatformClient::open(settings.common.platform);
    let mut failed = 0;
    let mut tags = (EntityTag::default(), EntityTag::default());
    loop {
        let current = directory.borrow().clone();
        let peer = choose_peer(&settings, &current, failed);
        let fetched = tokio::select! {
            fetched = fetch_update(&platform, &forward, &current, peer, &mut tags) => fetched,
            () = context.reached(Phase::Stopped) => return,
        };
        let was_long_poll = fetched.is_some() && peer.is_some();
        match fetched {
            Some(update) => {
                failed = 0;
                apply_update(&directory, &current, update, peer);
            }
            None => failed += 1,
        }
        if was_long_poll {
            continue;
        }
        // Jitter keeps the entries from all asking at the same moment.
        let name = settings.common.instance.as_bytes();
        let jitter = stable_hash(&[name, &context.clock.micros().to_le_bytes()]) % READ_INTERVAL.0;
        let wait = Millis(READ_INTERVAL.0 / 2 + jitter);
        tokio::select! {
            () = tokio::time::sleep(wait.as_duration()) => {}
            () = context.reached(Phase::Stopped) => return,
        }
    }
}

/// Fetches from `peer`, or from the platform if there is none. Returns `None` on failure.
async fn fetch_update(
    platform: &PlatformClient,
    forward: &Forwarder,
    current: &Directory,
    peer: Option<SocketAddr>,
    tags: &mut (EntityTag, EntityTag),
) -> Option<DirectoryUpdate> {
    if let Some(peer) = peer {
        let (revision, stamp) = (current.revision(), current.stamp());
        let path = format!("{DIRECTORY_PATH}?revision={revision}&stamp={stamp}");
        let answer = forward::get(forward, peer, &path, LONG_POLL_TIMEOUT + READ_INTERVAL)
            .await
            .ok()?;
        return serde_json::from_slice(&answer).ok();
    }
    let listing = platform.list(SETTINGS_PREFIX, &mut tags.0).await.ok()?;
    let instances = platform.instances(&mut tags.1).await.ok()?;
    let instances = instances.map_or(InstancesChange::Same, |mut list| {
        list.sort_by(|a, b| a.name.cmp(&b.name));
        InstancesChange::All(list)
    });
    let listing = listing.unwrap_or_default();
    Some(DirectoryUpdate {
        instances,
        revision: listing.revision,
        rows: listing.rows,
    })
}

/// The peer to ask next; `None` means the platform.
///
/// Readers ask the platform, and peers in turn while it fails. Other entries ask the
/// readers in turn, and the platform when all readers have failed. `failed` counts the
/// failures since the last success.
fn choose_peer(settings: &EntrySettings, current: &Directory, failed: usize) -> Option<SocketAddr> {
    let own_name = &settings.common.instance;
    let entries = || {
        current
            .instances
            .iter()
            .filter(|entry| entry.pool.is_none())
    };
    let names = entries().map(|entry| entry.name.as_str());
    let readers = subset::choose("directory", names, READER_COUNT);
    let mut peers: Vec<SocketAddr> = entries()
        .filter(|entry| readers.contains(&entry.name.as_str()) && entry.name != *own_name)
        .map(|entry| entry.links)
        .collect();
    if peers.is_empty() {
        peers.clone_from(&settings.peers);
    }

    let is_reader = readers.is_empty() || readers.contains(&own_name.as_str());
    // The platform has one turn too: the first for a reader, otherwise the last.
    let turn = failed % (peers.len() + 1);
    match is_reader {
        true => turn.checked_sub(1).map(|index| peers[index]),
        false => peers.get(turn).copied(),
    }
}

/// Publishes the directory with `update` applied, if that changes it.
fn apply_update(
    directory: &watch::Sender<Arc<Directory>>,
    current: &Directory,
    update: DirectoryUpdate,
    peer: Option<SocketAddr>,
) {
    let Some(next) = current.apply(update) else {
        return;
    };
    tracing::info!(
        revision = next.revision(),
        instances = next.instances.len(),
        from = peer.map_or("platform".to_owned(), |peer| peer.to_string()),
        "directory updated"
    );
    metrics::gauge!("redwing_settings_revision").set(next.revision() as f64);
    directory.send_replace(Arc::new(next));
}
