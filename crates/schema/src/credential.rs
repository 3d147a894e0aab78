//! Keys that identify organisations. Only their digests are stored and sent between nodes.

use lavenderflow_core::id::KeyDigest;
use sha2::{Digest, Sha256};

/// Returns the digest of a key.
///
/// Keys are long random texts, so an unsalted digest does not reveal them.
///
/// # Examples
///
/// ```
/// use lavenderflow_schema::credential::{digest, format_digest, parse_digest};
///
/// let one = digest("a3f9");
/// assert_ne!(one, digest("a3f8"));
/// assert_eq!(parse_digest(&format_digest(&one)), Some(one));
/// ```
pub fn digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Formats a digest as hexadecimal text.
pub fn format_digest(digest: &KeyDigest) -> String {
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses the hexadecimal text of a digest; `None` if it is malformed.
pub fn parse_digest(text: &str) -> Option<KeyDigest> {
    let is_hexadecimal = text.len() == 64 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hexadecimal {
        return None;
    }
    let mut digest = KeyDigest::default();
    for (index, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(digest)
}

/// Returns the digest of the key in an `Authorization` header with one of these schemes.
///
/// `None` if there is no such header, more than one, or a malformed one: such a request has no key.
///
/// # Examples
///
/// ```
/// use lavenderflow_schema::credential::{digest, key_digest};
///
/// let headers = [("Authorization".to_owned(), "Token a3f9".to_owned())];
/// assert_eq!(key_digest(&headers, &["token"]), Some(digest("a3f9")));
/// assert_eq!(key_digest(&headers, &["bearer"]), None);
/// ```
pub fn key_digest(headers: &[(String, String)], schemes: &[&str]) -> Option<KeyDigest> {
    let mut values = headers.iter().filter(|(name, _)| name.eq_ignore_ascii_case(KEY_HEADER));
    let (Some((_, value)), None) = (values.next(), values.next()) else { return None };
    let (scheme, key) = value.trim().split_once(' ')?;
    let key = key.trim();
    let is_key = !key.is_empty() && !key.contains(char::is_whitespace);
    (is_key && schemes.iter().any(|known| known.eq_ignore_ascii_case(scheme))).then(|| digest(key))
}

/// Header with the key of a request.
pub const KEY_HEADER: &str = "authorization";
