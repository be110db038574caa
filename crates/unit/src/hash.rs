//! Hashes that are the same on every node and in every version of the program, for decisions on
//! which the nodes of a fleet have to agree, also during an upgrade. The hashers of the standard
//! library don't guarantee that.

/// Hashes bytes: FNV-1a, then [`mix`], because FNV alone hardly mixes the last bytes.
pub fn hash(bytes: impl IntoIterator<Item = u8>) -> u64 {
    let sum = bytes.into_iter().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    mix(sum)
}

/// The finalizer of MurmurHash3.
pub fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let value = (value ^ (value >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    value ^ (value >> 33)
}

/// Returns a number above 0 and below 1 derived from a hash, evenly distributed over hashes.
pub fn fraction(hash: u64) -> f64 {
    ((hash >> 11) as f64 + 0.5) / (1_u64 << 53) as f64
}
