//! Rules that hold for texts in every document.

use hickory_unit::finding::Finding;

/// The longest name. Names go into keys, log lines and each exchange between
/// nodes.
pub const MAX_NAME_LENGTH: usize = 64;

/// Characters of a digest or key: 32 bytes in hexadecimal.
pub const HEX_DIGITS: usize = 64;

/// A name has up to [`MAX_NAME_LENGTH`] letters, digits, dots, underscores and
/// hyphens: none that would need escaping in a key, a path or a label.
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

/// A digest is written in lower case: it is compared as text.
pub fn check_digest(field: &str, digest: &str, findings: &mut Vec<Finding>) {
    if !is_hex(digest) || digest.bytes().any(|b| b.is_ascii_uppercase()) {
        let message = format!("a digest has {HEX_DIGITS} lower-case hexadecimal digits");
        findings.push(Finding::at(field, message));
    }
}

/// Whether a text is 32 bytes in hexadecimal.
pub fn is_hex(text: &str) -> bool {
    text.len() == HEX_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit())
}
