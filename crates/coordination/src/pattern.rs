//! Sets of prompt segments that are shut out together.

use crosslane_state::fingerprint::Fingerprint;
use crosslane_state::segment::Segment;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Segments in ascending order, at least one: a prompt matches if it has all of them.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "Vec<Segment>")]
#[display("{}", _0.iter().map(Segment::to_string).collect::<Vec<_>>().join(","))]
pub struct Pattern(Vec<Segment>);

impl TryFrom<Vec<Segment>> for Pattern {
    type Error = &'static str;

    fn try_from(mut segments: Vec<Segment>) -> Result<Self, Self::Error> {
        segments.sort_unstable();
        segments.dedup();
        if segments.is_empty() {
            return Err("a pattern must have a segment");
        }
        Ok(Self(segments))
    }
}

impl Pattern {
    /// Its segments.
    pub fn segments(&self) -> &[Segment] {
        &self.0
    }

    /// Whether a prompt has all of its segments.
    pub fn matches(&self, prompt: &[Segment]) -> bool {
        self.0.iter().all(|segment| prompt.contains(segment))
    }

    /// Name in rulings.
    pub fn fingerprint(&self) -> Fingerprint {
        let parts: Vec<&[u8]> = self.0.iter().map(Segment::as_bytes).collect();
        Fingerprint::of(&parts)
    }
}
