//! Confirms with the store that the configuration in force is the newest.

use super::Site;
use crate::{
    base::Millis,
    platform::{CONFIG_KEY, OPERATOR_TABLE, Store, read_config},
    store::Key, //
};
use std::sync::Arc;

/// How often the store is asked. A feed without changes is no confirmation, as it may have
/// lost its history. The interval is short enough that some calls may fail before the
/// configuration is too old.
const CONFIRM_INTERVAL: Millis = Millis(1_000);

/// The delay after a failed call, and while no valid configuration has been found.
const RETRY_DELAY: Millis = Millis(200);

/// The minimum time between two calls. Callers with unknown keys or paths cause a call at
/// once, so that no caller is rejected by an outdated configuration.
const MIN_CONFIRM_INTERVAL: Millis = Millis(50);

/// Confirms the configuration regularly and on request, until the program ends. Only
/// programs that limit the configuration's age need this.
pub async fn confirm_config(site: Arc<Site>, store: Store) {
    let key = Key::new(OPERATOR_TABLE, "", CONFIG_KEY);
    let mut applied_revision = 0;
    let mut failing = false;
    loop {
        let asked = site.clock.boottime();
        let error = match store.row(&key).await {
            Ok(Some(row)) => {
                if row.revision != applied_revision {
                    match read_config(&row.value.unwrap_or_default()) {
                        Ok(config) => {
                            applied_revision = row.revision;
                            site.apply_config(config);
                        }
                        Err(error) => tracing::error!(%error, "invalid configuration ignored"),
                    }
                }
                // An invalid configuration is not in force, so it can't be confirmed.
                if row.revision == applied_revision {
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
        // `applied_revision` is 0 until the operators have written a valid configuration.
        let wait = match failing || applied_revision == 0 {
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
