//! Regions in which requests may be served and their prompts kept.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Names of regions.
pub type Regions = BTreeSet<String>;

/// Where a request may be served: anywhere, or in some regions only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Residency(Option<Arc<Regions>>);

impl Residency {
    /// No restriction.
    pub const ANYWHERE: Self = Self(None);

    /// Restricted to some regions. An empty list does not restrict.
    pub fn within(regions: Regions) -> Self {
        Self((!regions.is_empty()).then(|| Arc::new(regions)))
    }

    /// Where both allow it. If they have no region in common, nowhere.
    pub fn and(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(one), Some(two)) => Self(Some(Arc::new(&**one & &**two))),
            (one, two) => Self(one.clone().or_else(|| two.clone())),
        }
    }

    /// Whether a region is allowed; `None` is an unknown one.
    pub fn permits(&self, region: Option<&str>) -> bool {
        let permitted = |regions: &Arc<Regions>| region.is_some_and(|name| regions.contains(name));
        self.0.as_ref().is_none_or(permitted)
    }
}
