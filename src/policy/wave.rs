//! Chooses the engines of a pool that swap to new weights next.

use crate::base::{
    Millis,
    WeightVersion, //
};

/// One engine of a pool, with regard to the swap of one model.
#[derive(Clone, Copy, Debug)]
pub struct Engine<K> {
    /// Identifies the engine to the caller.
    pub key: K,
    /// No order is sent before this time, because the last one failed.
    pub not_before: Millis,
    /// Whether an order to it is in progress.
    pub swapping: bool,
    /// The confirmed version of the model; `None` if it is in doubt.
    pub version: Option<WeightVersion>,
}

/// Chooses the engines to order now, so that at most `width` swap at once.
///
/// Engines with weights in doubt go first, then those with the oldest weights. A newer
/// target doesn't affect orders in progress: their engines are chosen again afterwards.
pub fn next<K: Copy>(
    now: Millis,
    engines: &[Engine<K>],
    target: WeightVersion,
    width: usize,
) -> Vec<K> {
    let busy = engines.iter().filter(|engine| engine.swapping).count();
    let mut due: Vec<&Engine<K>> = engines
        .iter()
        .filter(|engine| !engine.swapping && engine.not_before <= now)
        .filter(|engine| engine.version.is_none_or(|version| version < target))
        .collect();
    due.sort_by_key(|engine| engine.version);
    due.into_iter()
        .take(width.saturating_sub(busy))
        .map(|engine| engine.key)
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn engine(key: u8, version: Option<u64>, swapping: bool) -> Engine<u8> {
        Engine {
            key,
            not_before: Millis(0),
            swapping,
            version: version.map(WeightVersion),
        }
    }

    #[test]
    fn oldest_first_within_the_width() {
        let engines = [
            engine(0, Some(3), false),
            engine(1, Some(1), false),
            engine(2, None, false),
            engine(3, Some(2), true),
        ];
        assert_eq!(next(Millis(0), &engines, WeightVersion(3), 3), [2, 1]);
        assert!(next(Millis(0), &engines, WeightVersion(3), 1).is_empty());
    }
}
