//! Builds: which version of a service's software an endpoint runs.

use crate::hash;
use serde::{Deserialize, Serialize};

/// A version of a service's software, as a hash of both names. What engines of two builds generate doesn't fit together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Build(u64);

impl Build {
    /// The build of a service at a version.
    pub fn new(service: &str, version: &str) -> Self {
        Self(hash::of(&[service.as_bytes(), &[0], version.as_bytes()].concat()))
    }
}
