//! Base64 with the standard alphabet and padding.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = (bits >> (18 - 6 * place)) & 63;
            let is_padding = place > chunk.len();
            text.push(if is_padding {
                '='
            } else {
                ALPHABET[digit as usize] as char
            });
        }
    }
    text
}
