//! Priority of requests while endpoints have too little room for all of them.

use serde::{Deserialize, Serialize};

/// Priority of a request: that of its organisation decides before that of its route. Lower values are more urgent.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Priority {
    /// Priority of the organisation; 0 without one.
    pub organisation: u8,
    /// Priority of the route.
    pub route: u8,
}
