//! Translates the platform's list of guarantees in force into the features that they call for.

use crate::policy::load_features::LoadFeatures;

/// Backend servers limit their connections, and many instances share a service.
const SHARED_SERVERS: &str = "pool";

/// Callers and servers may read and write slowly, and memory is scarce.
const PRESSURE: &str = "pressure";

/// The features that the guarantees called `names` call for. Other names call for none.
pub fn load_features(names: &[String]) -> LoadFeatures {
    let has = |name: &str| names.iter().any(|listed| listed == name);
    let shared = has(SHARED_SERVERS);
    LoadFeatures {
        conditions: shared,
        connections: shared,
        handover: shared,
        memory: has(PRESSURE),
        queue: shared,
        uneven: shared,
    }
}
