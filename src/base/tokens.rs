//! Compact storage for the tokens of a generation.

use serde::{
    Deserialize,
    Serialize, //
};

/// The texts of all tokens in one string: each token takes its text and 4 more bytes.
///
/// # Invariants
///
/// `ends` holds the end offset of each token in `text`: in ascending order, each on a
/// character boundary, and the last one equal to the length of `text`.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Tokens {
    ends: Vec<u32>,
    text: String,
}

/// Tokens as received from a peer, before their invariants are checked.
#[derive(Deserialize)]
struct Unchecked {
    ends: Vec<u32>,
    text: String,
}

impl<'de> Deserialize<'de> for Tokens {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Unchecked { ends, text } = Unchecked::deserialize(deserializer)?;
        let rising = ends.is_sorted();
        let on_boundaries = ends.iter().all(|end| text.is_char_boundary(*end as usize));
        let ends_at_text_length = ends.last().copied().unwrap_or(0) as usize == text.len();
        if !(rising && on_boundaries && ends_at_text_length) {
            return Err(serde::de::Error::custom("token ends do not fit the text"));
        }
        // INVARIANT: all three conditions were checked above.
        Ok(Self { ends, text })
    }
}

impl Tokens {
    /// Appends all tokens of `other`.
    pub fn append(&mut self, other: &Self) {
        let base = self.text.len() as u32;
        self.text.push_str(&other.text);
        self.ends.extend(other.ends.iter().map(|end| base + end));
    }

    /// Whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The texts of the tokens in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.ends.len()).map(|index| {
            let from = index.checked_sub(1).map_or(0, |before| self.ends[before]);
            &self.text[from as usize..self.ends[index] as usize]
        })
    }

    /// The number of tokens.
    pub fn len(&self) -> u32 {
        self.ends.len() as u32
    }

    /// Appends one token.
    pub fn push(&mut self, text: &str) {
        self.text.push_str(text);
        self.ends.push(self.text.len() as u32);
    }

    /// Replaces the tokens from index `from` on by `tokens`. Returns false and changes nothing
    /// if that would leave a gap.
    pub fn splice(&mut self, from: u32, tokens: &Self) -> bool {
        if from > self.len() {
            return false;
        }
        self.truncate(from);
        self.append(tokens);
        true
    }

    /// The texts of all tokens, joined.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Keeps the first `count` tokens and drops the others.
    pub fn truncate(&mut self, count: u32) {
        if count >= self.len() {
            return;
        }
        self.ends.truncate(count as usize);
        let end = self.ends.last().copied().unwrap_or(0);
        self.text.truncate(end as usize);
    }
}

impl<'a> FromIterator<&'a str> for Tokens {
    fn from_iter<I: IntoIterator<Item = &'a str>>(texts: I) -> Self {
        let mut tokens = Self::default();
        for text in texts {
            tokens.push(text);
        }
        tokens
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn splice_replaces_existing_tokens() {
        let mut tokens: Tokens = ["a", "bb", "c"].into_iter().collect();
        assert!(tokens.splice(1, &["x", "y", "z"].into_iter().collect()));
        assert_eq!(tokens.iter().collect::<Vec<_>>(), ["a", "x", "y", "z"]);
        assert!(!tokens.splice(9, &Tokens::default()));
        tokens.truncate(2);
        assert_eq!(tokens.text(), "ax");
    }

    #[test]
    fn ends_from_a_peer_are_checked() {
        for (ends, accepted) in [
            ("[1,3]", true),
            ("[3,1]", false),
            ("[2]", false),
            ("[]", false),
            ("[1,9]", false),
        ] {
            let text = format!(r#"{{"ends":{ends},"text":"abc"}}"#);
            let tokens = serde_json::from_str::<Tokens>(&text);
            assert_eq!(tokens.is_ok(), accepted, "{ends}");
        }
    }
}
