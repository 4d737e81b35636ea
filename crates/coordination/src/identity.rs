//! Identifies the organisation of a request by its key and the configuration in force.
//!
//! A key that is sent must be known, also on routes that need none: a revoked key must not run
//! anything. A configuration without a list of organisations admits everyone; an empty list admits
//! nobody with a key.

use crosslane_state::organisation::{Credential, Organisation};
use crosslane_state::route::{Route, Table};

/// Why a caller is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// It sent no key where one is needed, or a malformed one.
    NoKey,
    /// No organisation has its key.
    UnknownKey,
}

/// The organisation of a caller on a route; `None` where no key is needed and none was sent.
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
