//! Policy versions and publications.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Version number of the policy; it only increases.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0}")]
pub struct Version(pub u64);

/// A publication that made a new policy version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Identifier chosen by its publisher.
    pub id: String,
    /// Version it made.
    pub version: Version,
    /// Source text of the policy program.
    pub program: String,
    /// Who published it.
    pub author: String,
    /// Failure domains that confirmed that all their nodes use it.
    pub confirmed: BTreeSet<String>,
    /// Whether every failure domain has confirmed it.
    pub accepted: bool,
}
