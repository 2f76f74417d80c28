//! Asks the store whether the configuration in force is still the newest.

use super::Site;
use crate::{
    base::Millis,
    platform::{CONFIG_KEY, OPERATOR_TABLE, Store, read_config},
    store::Key, //
};
use std::sync::Arc;

/// How often the store is asked. A feed that is silent proves nothing: it may have
/// lost its history. Some questions may fail before the configuration is too old.
const CONFIRM_INTERVAL: Millis = Millis(1_000);

/// The wait after a question that failed, or found nothing.
const RETRY_DELAY: Millis = Millis(200);

/// The least time between two questions. Callers with unknown keys or paths have the
/// store asked at once, so that nobody is turned away by an old configuration.
const MIN_CONFIRM_INTERVAL: Millis = Millis(50);

/// Confirms the configuration for good, where its age matters.
pub async fn confirm_config(site: Arc<Site>, store: Store) {
    let key = Key::new(OPERATOR_TABLE, "", CONFIG_KEY);
    let mut applied = 0;
    let mut failing = false;
    loop {
        let asked = site.clock.boottime();
        let error = match store.row(&key).await {
            Ok(Some(row)) => {
                if row.revision != applied {
                    match read_config(&row.value.unwrap_or_default()) {
                        Ok(config) => {
                            applied = row.revision;
                            site.apply_config(config);
                        }
                        Err(error) => tracing::error!(%error, "a configuration is left out"),
                    }
                }
                // One that is not understood is not in force.
                if row.revision == applied {
                    site.set_confirmed(asked);
                }
                None
            }
            Ok(None) => None,
            Err(error) => Some(error),
        };
        if error.is_some() != failing {
            failing = error.is_some();
            match &error {
                Some(error) => tracing::warn!(%error, "the configuration is not confirmed"),
                None => tracing::info!("the configuration is confirmed again"),
            }
        }
        // There is none before the operators' first.
        let wait = match failing || applied == 0 {
            true => RETRY_DELAY,
            false => CONFIRM_INTERVAL,
        };
        tokio::time::sleep(MIN_CONFIRM_INTERVAL.as_duration()).await;
        tokio::select! {
            () = tokio::time::sleep((wait - MIN_CONFIRM_INTERVAL).as_duration()) => {}
            () = site.confirmation_requested() => {}
        }
    }
}
