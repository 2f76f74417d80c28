//! The expected output of the stand-in engines and scorers, to check answers against.
//!
//! A token's text is a function of the prompt, the seed, its index and the
//! weight version that generated it. A wrong version, a lost token and a
//! duplicate token therefore each give a wrong text.

use redwingpond::base::{
    Span,
    stable_hash, //
};

/// The version in the text of tokens without one weight version: after a failed load,
/// which leaves mixed weights, or after the model was unloaded.
pub const MIXED_WEIGHTS: u64 = u64::MAX;

/// The median length of a generation, in tokens.
const MEDIAN_LENGTH: f64 = 24.0;

/// The exponent of the length distribution's tail; a greater one makes longer
/// stragglers.
const TAIL_EXPONENT: f64 = 0.55;

/// The length of a generation in tokens, at most `max`.
pub fn length(prompt: &str, seed: u64, max: u32) -> u32 {
    let hash = stable_hash(&[b"length", prompt.as_bytes(), &seed.to_le_bytes()]);
    let draw = (hash >> 11) as f64 / (1_u64 << 53) as f64;
    let length = MEDIAN_LENGTH * (2.0 * (1.0 - draw).max(1e-6)).powf(-TAIL_EXPONENT);
    (length as u32).clamp(1, max)
}

/// The text of token `index`.
pub fn token(prompt: &str, seed: u64, index: u32, version: u64) -> String {
    let hash = stable_hash(&[
        prompt.as_bytes(),
        &seed.to_le_bytes(),
        &index.to_le_bytes(),
        &version.to_le_bytes(),
    ]);
    let letters = b"abcdefghijklmnopqrstuvwxyz";
    let mut text = String::from(" ");
    for shift in [0, 8, 16, 24] {
        text.push(char::from(letters[(hash >> shift) as usize % 26]));
    }
    text
}

/// The text of the generation whose tokens have the versions in `spans`.
pub fn text(prompt: &str, seed: u64, spans: &[Span]) -> String {
    let tokens = spans
        .iter()
        .flat_map(|span| (span.from..span.to).map(|index| (index, span.version.0)));
    tokens
        .map(|(index, version)| token(prompt, seed, index, version))
        .collect()
}

/// The score of the stand-in scorer for `text`, from 0 to 0.999.
pub fn score(text: &str) -> f64 {
    (stable_hash(&[b"score", text.as_bytes()]) % 1_000) as f64 / 1_000.0
}
