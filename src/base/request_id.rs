//! Request ids. The text of an id names its issuer, so that a request can be looked up by
//! its id alone.

use super::{
    Incarnation,
    stable_hash, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use snafu::Snafu;

/// The number of the entry that issued a request id, derived from the entry's name.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Issuer(pub u32);

impl Issuer {
    /// The issuer number of the instance called `name`.
    pub fn of(name: &str) -> Self {
        Self((stable_hash(&[name.as_bytes()]) >> 32) as u32)
    }
}

/// The id of a request: its issuer, the issuer's incarnation, the time of issue and a
/// sequence number.
///
/// The text form is `IIIIIIII-NNNNNNNNNNNN-TTTTTTTT-SSSSSSSS` in hexadecimal: issuer,
/// incarnation in ms, seconds since the start of that incarnation, sequence number.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestId {
    pub issuer: Issuer,
    pub incarnation: Incarnation,
    /// Seconds from the start of the incarnation to the issue of this id.
    pub second: u32,
    pub sequence: u32,
}

/// The error for a text that is not a request id.
#[derive(Debug, PartialEq, Snafu)]
#[snafu(display(
    "`{text}` is not a request id: expected four hexadecimal parts of 8, 12, 8 and 8 digits joined by `-`"
))]
pub struct RequestIdError {
    text: String,
}

/// The number of digits of each part of the text form.
const DIGITS: [usize; 4] = [8, 12, 8, 8];

impl std::fmt::Display for RequestId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{:08x}-{:012x}-{:08x}-{:08x}",
            self.issuer.0, self.incarnation.0, self.second, self.sequence
        )
    }
}

impl std::str::FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<Self, RequestIdError> {
        parse(text).ok_or_else(|| RequestIdError {
            text: text.chars().take(64).collect(),
        })
    }
}

fn parse(text: &str) -> Option<RequestId> {
    let parts: Vec<&str> = text.split('-').collect();
    if parts.len() != DIGITS.len() {
        return None;
    }

    let mut numbers = [0; 4];
    for (i, part) in parts.iter().enumerate() {
        let digits = part.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        if part.len() != DIGITS[i] || !digits {
            return None;
        }
        numbers[i] = u64::from_str_radix(part, 16).ok()?;
    }

    Some(RequestId {
        issuer: Issuer(numbers[0] as u32),
        incarnation: Incarnation(numbers[1]),
        second: numbers[2] as u32,
        sequence: numbers[3] as u32,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_form() {
        struct Test {
            text: &'static str,
            parses: bool,
        }

        impl Test {
            fn run(self) {
                let parsed = self.text.parse::<RequestId>();
                assert_eq!(parsed.is_ok(), self.parses, "{}", self.text);
                if let Ok(id) = parsed {
                    assert_eq!(id.to_string(), self.text);
                }
            }
        }

        for (text, parses) in [
            ("0badcafe-0193a0000000-00000010-00000001", true),
            ("0BADCAFE-0193a0000000-00000010-00000001", false),
            ("0badcafe-0193a0000000-00000010", false),
            ("0badcafe-0193a0000000-00000010-00000001-", false),
            ("+badcafe-0193a0000000-00000010-00000001", false),
            ("", false),
        ] {
            Test { text, parses }.run();
        }
    }
}
