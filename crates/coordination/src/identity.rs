//! Whose a request is, by the configuration in force.
//!
//! A key that is shown must be known, also where none is needed: one that was taken away must not run
//! anything. A configuration that names no organisations, not even an empty list, lets anyone in.

use crosslane_state::organisation::{Credential, Organisation};
use crosslane_state::route::{Route, Table};

/// Why a caller is not let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It shows no key where one is needed, or something that is none.
    NoKey,
    /// No organisation has its key.
    UnknownKey,
}

/// The organisation of a caller on a route; none where none is needed.
pub fn identify<'a>(
    table: &'a Table,
    route: &Route,
    credential: Credential,
) -> Result<Option<&'a Organisation>, Denial> {
    let Some(organisations) = &table.organisations else {
        return Ok(None);
    };
    match credential {
        Credential::Absent if route.allow_anonymous => Ok(None),
        Credential::Absent | Credential::Malformed => Err(Denial::NoKey),
        Credential::Key(digest) => {
            organisations.by_key_digest(digest).map(Some).ok_or(Denial::UnknownKey)
        }
    }
}
