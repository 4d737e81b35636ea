//! Policy: versions and publications.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Number of a policy; only rises.
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

/// One publication that counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// Identity given by its publisher.
    pub id: String,
    /// Version it made.
    pub version: Version,
    /// Program text.
    pub program: String,
    /// Who published it.
    pub author: String,
    /// Failure domains in which it is in force.
    pub confirmed: BTreeSet<String>,
    /// Whether every failure domain had it in force.
    pub accepted: bool,
}
