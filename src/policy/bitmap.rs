//! The set of samples of a step that a trainer already has.

/// One bit for each sample of a step, by sample number.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Bitmap {
    bytes: Vec<u8>,
}

impl Bitmap {
    /// The number of bits that are set.
    pub fn count(&self) -> u32 {
        self.bytes.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Whether bit `number` is set.
    pub fn holds(&self, number: u32) -> bool {
        let byte = self.bytes.get(number as usize / 8);
        byte.is_some_and(|byte| byte & (1 << (number % 8)) != 0)
    }

    /// Parses the hexadecimal form that [`Display`](std::fmt::Display) writes; `None`
    /// if `text` is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.as_bytes();
        if !digits.len().is_multiple_of(2) {
            return None;
        }
        let bytes = digits
            .chunks(2)
            .map(|pair| {
                let high = char::from(pair[0]).to_digit(16)?;
                let low = char::from(pair[1]).to_digit(16)?;
                Some((high * 16 + low) as u8)
            })
            .collect::<Option<Vec<u8>>>()?;
        Some(Self { bytes })
    }

    /// Sets bit `number`.
    pub fn set(&mut self, number: u32) {
        let at = number as usize / 8;
        if at >= self.bytes.len() {
            self.bytes.resize(at + 1, 0);
        }
        self.bytes[at] |= 1 << (number % 8);
    }
}

impl std::fmt::Display for Bitmap {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.bytes
            .iter()
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_form_round_trips() {
        let mut bitmap = Bitmap::default();
        for number in [0, 9, 2_047] {
            bitmap.set(number);
        }
        let read = Bitmap::parse(&bitmap.to_string()).unwrap();
        assert_eq!(read, bitmap);
        assert!(read.holds(9) && !read.holds(8) && !read.holds(99_999));
        assert_eq!(read.count(), 3);
        for bad in ["0", "zz", "é0"] {
            assert!(Bitmap::parse(bad).is_none(), "{bad}");
        }
    }
}
