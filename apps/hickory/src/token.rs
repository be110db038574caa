//! Creating tokens and their digests.

use crate::args::Fleet;
use crate::client::read_token;
use crate::failure::Failure;
use crate::print::print_json;
use hickory_release::configuration::digest_token;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::Serialize;

/// Number of random bytes in a token, enough that it can't be guessed.
const TOKEN_BYTES: usize = 32;

/// A token and its digest.
#[derive(Serialize)]
struct TokenAndDigest {
    token: String,
    digest: String,
}

/// The digest of an existing token.
#[derive(Serialize)]
struct Digest {
    digest: String,
}

/// Prints a new token and its digest. The fleet stores only the digest.
pub(crate) fn print_new(json: bool) -> Result<(), Failure> {
    let mut bytes = [0; TOKEN_BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|error| Failure::Local(format!("no random bytes: {error}")))?;
    let token: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    let pair = TokenAndDigest { digest: digest_token(&token), token };
    if json {
        print_json(&pair);
    } else {
        println!("token   {}", pair.token);
        println!("digest  {}", pair.digest);
    }
    Ok(())
}

/// Prints the digest of an existing token.
pub(crate) fn print_digest(fleet: &Fleet, json: bool) -> Result<(), Failure> {
    let token = read_token(fleet.token_file.as_deref())?;
    let digest = digest_token(&token);
    if json {
        print_json(&Digest { digest });
    } else {
        println!("{digest}");
    }
    Ok(())
}
