//! Rules for strings in all documents.

use hickory_unit::finding::Finding;

/// Maximum length of a name in bytes. Names are part of keys, log lines and gossip messages.
pub const MAX_NAME_LENGTH: usize = 64;

/// Number of hexadecimal digits in a digest or key of 32 bytes.
pub const HEX_DIGITS: usize = 64;

/// Checks that a name consists of at most [`MAX_NAME_LENGTH`] letters, digits, dots, underscores
/// and hyphens, none of which need escaping in a key, a path or a label.
pub fn check_name(field: &str, name: &str, findings: &mut Vec<Finding>) {
    let well_formed = name.starts_with(|c: char| c.is_ascii_alphanumeric())
        && name.len() <= MAX_NAME_LENGTH
        && name.bytes().all(|b| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-'));
    if !well_formed {
        let message = format!(
            "a name has 1 to {MAX_NAME_LENGTH} letters, digits, '.', '_' and '-', and begins with \
             a letter or digit"
        );
        findings.push(Finding::at(field, message));
    }
}

/// Checks that a digest is written in lower case, because digests are compared as text.
pub fn check_digest(field: &str, digest: &str, findings: &mut Vec<Finding>) {
    if !is_hex(digest) || digest.bytes().any(|b| b.is_ascii_uppercase()) {
        let message = format!("a digest has {HEX_DIGITS} lower-case hexadecimal digits");
        findings.push(Finding::at(field, message));
    }
}

/// Returns whether a text is 32 bytes in hexadecimal.
pub fn is_hex(text: &str) -> bool {
    text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}
