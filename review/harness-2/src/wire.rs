//! Base64, fields of JSON lines, and time.

use std::time::{SystemTime, UNIX_EPOCH};

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn encode(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = (0..3).fold(0u32, |n, i| n << 8 | u32::from(chunk.get(i).copied().unwrap_or(0)));
        for i in 0..4 {
            let digit = ALPHABET[(n >> (18 - 6 * i) & 63) as usize];
            out.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    out
}

/// Decodes base64; ignores what is no digit of it.
pub fn decode(text: &str) -> Vec<u8> {
    let digits: Vec<u32> =
        text.bytes().filter_map(|b| ALPHABET.iter().position(|a| *a == b)).map(|n| n as u32).collect();
    let mut out = Vec::new();
    for four in digits.chunks(4) {
        let n = (0..4).fold(0u32, |n, i| n << 6 | four.get(i).copied().unwrap_or(0));
        let bytes = [(n >> 16) as u8, (n >> 8) as u8, n as u8];
        out.extend(&bytes[..four.len().saturating_sub(1)]);
    }
    out
}

/// The value of a string or number in a line that holds one flat JSON object without escapes.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let rest = &line[line.find(&format!("\"{name}\":"))? + name.len() + 3..];
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next(),
    }
}

/// Unix time in milliseconds.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_millis() as u64)
}
