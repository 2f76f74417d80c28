//! Which engines of a pool swap to new weights next.

use crate::base::{
    Millis,
    WeightVersion, //
};

/// One engine as the swap of one model sees it.
#[derive(Clone, Copy, Debug)]
pub struct Engine<K> {
    pub key: K,
    /// Not before this time: the last try failed.
    pub not_before: Millis,
    /// An order to it is under way.
    pub swapping: bool,
    /// The confirmed version of the model.
    pub version: Option<WeightVersion>,
}

/// Chooses the engines to order now, so that at most `width` swap at once.
///
/// Engines with the oldest weights go first, and those with weights in doubt
/// before all. A newer target doesn't disturb orders under way; their engines
/// come around again.
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
